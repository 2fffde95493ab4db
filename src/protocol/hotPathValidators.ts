import type { MessageType } from './messages.js';

/** Returns true only for messages that the schema accepts unchanged; false means that the schema decides. */
type HotPathValidator = (message: Readonly<Record<string, unknown>>) => boolean;

const MAX_ID_LENGTH = 256;

const isId = (value: unknown): boolean =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_ID_LENGTH;
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;
const isString = (value: unknown): boolean => typeof value === 'string';
const isBytes = (value: unknown): boolean => value instanceof Uint8Array;

/** Schemas strip unknown fields, so a message with additional fields must be parsed by its schema. */
function countFields(value: object): number {
  return Object.keys(value).length;
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isStringArray(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  for (const text of value as unknown[]) if (typeof text !== 'string') return false;
  return true;
}

function isUsage(value: unknown): boolean {
  return (
    isRecord(value) &&
    countFields(value) === 2 &&
    isCount(value.promptTokens) &&
    isCount(value.outputTokens)
  );
}

const isChunk: HotPathValidator = (message) =>
  countFields(message) === 4 &&
  isId(message.attempt) &&
  isCount(message.sequence) &&
  isStringArray(message.tokens);

const isEnd: HotPathValidator = (message) =>
  countFields(message) === 7 &&
  isId(message.attempt) &&
  isCount(message.chunks) &&
  isCount(message.status) &&
  isBytes(message.body) &&
  isString(message.finishReason) &&
  isUsage(message.usage);

const isRequest: HotPathValidator = (message) =>
  countFields(message) === 11 &&
  isId(message.attempt) &&
  isId(message.workspace) &&
  isId(message.service) &&
  (message.kind === 'chat' || message.kind === 'call') &&
  isBytes(message.body) &&
  isId(message.fingerprint) &&
  Number.isFinite(message.cost) &&
  Number(message.cost) > 0 &&
  Number.isFinite(message.remainingMs) &&
  isCount(message.resumeAfter) &&
  isString(message.resumeText);

/** Reports with suspects are rare and are left to the schema. */
const isLoad: HotPathValidator = (message) =>
  countFields(message) === 13 &&
  isId(message.upstream) &&
  isId(message.service) &&
  isCount(message.sequence) &&
  isCount(message.running) &&
  isCount(message.queued) &&
  Number.isFinite(message.work) &&
  isCount(message.slots) &&
  Number.isFinite(message.tokensPerSecond) &&
  typeof message.accepting === 'boolean' &&
  typeof message.draining === 'boolean' &&
  Array.isArray(message.suspects) &&
  message.suspects.length === 0 &&
  isCount(message.coveredSends);

const isRankSelections: HotPathValidator = (message) =>
  countFields(message) === 4 &&
  isCount(message.epoch) &&
  isCount(message.scale) &&
  isBytes(message.counts);

const isOptionalCount = (value: unknown): boolean => value === undefined || isCount(value);

function isArming(value: unknown): boolean {
  return (
    value === undefined ||
    (isRecord(value) && countFields(value) === 2 && isCount(value.version) && isCount(value.pass))
  );
}

const requiredReportCounts = [
  'epoch',
  'rank',
  'size',
  'startedAt',
  'pass',
  'map',
  'running',
  'queued',
] as const;
const optionalReportFields = ['isLeaving', 'prepared', 'armed', 'held', 'pace'] as const;
const REQUIRED_REPORT_FIELDS = requiredReportCounts.length + 2;

function isRankReport(value: unknown): boolean {
  if (!isRecord(value) || !isId(value.group) || typeof value.isOpen !== 'boolean') return false;
  for (const name of requiredReportCounts) if (!isCount(value[name])) return false;
  let fields = REQUIRED_REPORT_FIELDS;
  for (const name of optionalReportFields) if (Object.hasOwn(value, name)) fields += 1;
  return (
    countFields(value) === fields &&
    isOptionalCount(value.prepared) &&
    isOptionalCount(value.held) &&
    isArming(value.armed) &&
    (value.isLeaving === undefined || typeof value.isLeaving === 'boolean') &&
    (value.pace === undefined || (Number.isFinite(value.pace) && Number(value.pace) > 0))
  );
}

function isLayerExperts(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  for (const experts of value as unknown[]) {
    if (!Array.isArray(experts)) return false;
    for (const expert of experts as unknown[]) if (!isCount(expert)) return false;
  }
  return true;
}

const isRankStatus: HotPathValidator = (message) =>
  countFields(message) === (Object.hasOwn(message, 'experts') ? 3 : 2) &&
  isRankReport(message.report) &&
  (message.experts === undefined || isLayerExperts(message.experts));

const isOrderOutcome = (value: unknown): boolean =>
  value === 'begun' || value === 'done' || value === 'refused' || value === 'unknown';

const isRankOrderReply: HotPathValidator = (message) =>
  countFields(message) === 3 && isCount(message.call) && isOrderOutcome(message.outcome);

/**
 * Validators by message type for messages that are sent per request, per token or many times a second; cheaper than the schemas.
 * The schemas remain authoritative: a message that a validator rejects is parsed by its schema.
 */
export const hotPathValidators: Readonly<Partial<Record<MessageType, HotPathValidator>>> = {
  chunk: isChunk,
  end: isEnd,
  request: isRequest,
  load: isLoad,
  rankSelections: isRankSelections,
  rankStatus: isRankStatus,
  rankOrderReply: isRankOrderReply,
};
