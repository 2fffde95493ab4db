import { isIP } from 'node:net';
import { z } from 'zod';
import { defaults } from '../../defaults.js';
import type { LogLevel } from '../logging.js';
import { parseDuration, parseSize } from './units.js';

const MAX_PORT = 65_535;
const MAX_COUNT = 1_000_000;
/** A shorter slot expires before its order can be sent; a longer one exhausts the order memory. */
const MIN_ORDER_MS = 1_000;
const MAX_ORDER_MS = 86_400_000;
const NAME_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const logLevels: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];
const routingPolicies = ['affinity', 'roundRobin'] as const;

/** Creates a schema for an INI value; `expected` describes valid values in error messages. */
function createField<Value>(expected: string, parse: (text: string) => Value | undefined) {
  const error = `expected ${expected}`;
  return z.string({ error }).transform((text, context): Value => {
    const value = parse(text.trim());
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: error });
    return z.NEVER;
  });
}

const parseInteger = (text: string, lowest: number, highest: number): number | undefined => {
  if (!/^\d{1,9}$/.test(text)) return undefined;
  const value = Number(text);
  return value >= lowest && value <= highest ? value : undefined;
};
const parseUrl = (text: string): string | undefined => {
  if (!URL.canParse(text)) return undefined;
  const { protocol, href } = new URL(text);
  return protocol === 'http:' || protocol === 'https:' ? href.replace(/\/$/, '') : undefined;
};
const parseAddresses = (text: string): string[] | undefined => {
  const addresses = text.split(',').map((part) => part.trim());
  const isAddress = (address: string): boolean => {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
    return isIP(host) !== 0 && parseInteger(address.slice(colon + 1), 1, MAX_PORT) !== undefined;
  };
  const filled = addresses.filter((address) => address !== '');
  return filled.every(isAddress) ? filled : undefined;
};

const name = createField('letters, digits, ".", "_" or "-", at most 128', (text) =>
  NAME_PATTERN.test(text) ? text : undefined,
);
const ipAddress = createField('an IP address', (text) => (isIP(text) === 0 ? undefined : text));
const port = createField('a port from 0 to 65535', (text) => parseInteger(text, 0, MAX_PORT));
const positiveInteger = createField('an integer from 1 to 1000000', (text) =>
  parseInteger(text, 1, MAX_COUNT),
);
const duration = createField('a duration with unit ms, s, m or h, for example 30s', parseDuration);
const orderDuration = createField('a duration from 1s to 24h', (text) => {
  const value = parseDuration(text);
  return value !== undefined && value >= MIN_ORDER_MS && value <= MAX_ORDER_MS ? value : undefined;
});
const size = createField('a size with unit B, KB or MB, for example 1MB', parseSize);
const url = createField('an http or https URL', parseUrl);
const addresses = createField('a comma-separated list of ip:port', parseAddresses);
const path = createField('a file path', (text) => (text === '' ? undefined : text));
const boolean = createField('true or false', (text) =>
  text === 'true' || text === 'false' ? text === 'true' : undefined,
);
const logLevel = createField(`one of ${logLevels.join(', ')}`, (text) =>
  logLevels.find((level) => level === text),
);
const routingPolicy = createField(`one of ${routingPolicies.join(', ')}`, (text) =>
  routingPolicies.find((policy) => policy === text),
);

const links = {
  /** IP address on which all ports listen. */
  listen_host: ipAddress,
  port,
  seeds: addresses.optional(),
};
const shared = {
  process: z.strictObject({ id: name, host: name, availability_zone: name }),
  platform: z.strictObject({ url }).optional(),
  log: z.strictObject({ level: logLevel.optional() }).optional(),
  tls: z.strictObject({
    plain: boolean.optional(),
    cert: path.optional(),
    key: path.optional(),
    ca: path.optional(),
  }),
};

/** Schema of the entry settings by section and key. */
export const entrySettingsSchema = z.strictObject({
  ...shared,
  links: z.strictObject({
    ...links,
    per_service: positiveInteger.default(defaults.linksPerService),
    routing_policy: routingPolicy.default('affinity'),
  }),
  http: z.strictObject({ port, operator_port: port }),
  limits: z
    .strictObject({
      drain: duration.default(defaults.drainLimitMs),
      max_body: size.default(defaults.maxBodyBytes),
      max_connections: positiveInteger.default(defaults.maxEntryConnections),
      max_requests_per_connection: positiveInteger.default(defaults.maxRequestsPerConnection),
      max_pipelined_requests: positiveInteger.default(defaults.maxPipelinedRequests),
      max_held: size.default(defaults.maxEntryHeldBytes),
    })
    .optional(),
});

/** Schema of the agent settings by section and key. */
export const agentSettingsSchema = z.strictObject({
  ...shared,
  links: z.strictObject(links),
  http: z.strictObject({ operator_port: port }),
  upstream: z.strictObject({ id: name, service: name, url, slots: positiveInteger }),
  limits: z
    .strictObject({
      drain: duration.default(defaults.drainLimitMs),
      order_slot_ttl: orderDuration.default(defaults.orderSlotTtlMs),
      order_memory_margin: orderDuration.default(defaults.orderMemoryMarginMs),
    })
    .optional(),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
