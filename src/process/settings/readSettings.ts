import { readFileSync } from 'node:fs';
import { BlockList, isIPv6 } from 'node:net';
import { parse } from 'ini';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { z } from 'zod';
import { parseAddress } from '../../connection/linkClient.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';
import { defaults } from '../../defaults.js';
import type { LogLevel } from '../logging.js';
import type { AgentOptions, EntryOptions, ProcessOptions } from '../types.js';
import type { AgentSettings, EntrySettings } from './settingsSchema.js';
import { agentSettingsSchema, entrySettingsSchema } from './settingsSchema.js';

export interface SettingsError {
  readonly file: string;
  /** `section.key`; only `section` for an error of a section, empty for an error of the file. */
  readonly key: string;
  /** Description of the error and the expected value. */
  readonly message: string;
}

export interface OptionsByRole {
  readonly entry: EntryOptions;
  readonly agent: AgentOptions;
}

export interface Settings<Role extends keyof OptionsByRole> {
  readonly options: OptionsByRole[Role];
  readonly logLevel: LogLevel;
}

type Problem = Omit<SettingsError, 'file'>;

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

const sectionParsers: {
  readonly [Role in keyof OptionsByRole]: (
    sections: unknown,
  ) => Result<Settings<Role>, readonly Problem[]>;
} = {
  entry: (sections) =>
    checkSections(entrySettingsSchema, sections).andThen((settings) =>
      buildSettings(settings, (shared) => ({
        ...shared,
        httpPort: settings.http.port,
        linksPerService: settings.links.per_service,
        maxBodyBytes: settings.limits?.max_body ?? defaults.maxBodyBytes,
        callerLimits: readCallerLimits(settings.limits),
        routingPolicy: settings.links.routing_policy,
      })),
    ),
  agent: (sections) =>
    checkSections(agentSettingsSchema, sections).andThen((settings) =>
      buildSettings(settings, (shared) => ({
        ...shared,
        upstream: settings.upstream.id,
        service: settings.upstream.service,
        upstreamUrl: settings.upstream.url,
        slots: settings.upstream.slots,
        orderSlotTtlMs: settings.limits?.order_slot_ttl ?? defaults.orderSlotTtlMs,
        orderMemoryMarginMs: settings.limits?.order_memory_margin ?? defaults.orderMemoryMarginMs,
      })),
    ),
};

function readCallerLimits(limits: EntrySettings['limits']): EntryOptions['callerLimits'] {
  if (limits === undefined) return undefined;
  return {
    maxConnections: limits.max_connections,
    maxRequestsPerConnection: limits.max_requests_per_connection,
    maxPipelinedRequests: limits.max_pipelined_requests,
    maxHeldBytes: limits.max_held,
  };
}

/**
 * Reads and validates the settings of a daemon.
 *
 * @param file - Path of the INI file
 * @param role - Role of the daemon
 * @returns Options and log level, or all errors with file, `section.key` and the expected value
 */
export function readSettings<Role extends keyof OptionsByRole>(
  file: string,
  role: Role,
): Result<Settings<Role>, SettingsError[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return Err([{ file, key: '', message: `expected a readable file: ${String(error)}` }]);
  }
  return parseSettings(text, role).mapErr((problems) =>
    problems.map((problem) => ({ file, ...problem })),
  );
}

/**
 * Parses and validates settings.
 *
 * @param text - INI text
 * @param role - Role of the daemon
 * @returns Options and log level, or all errors
 */
export function parseSettings<Role extends keyof OptionsByRole>(
  text: string,
  role: Role,
): Result<Settings<Role>, readonly Problem[]> {
  let sections: unknown;
  try {
    sections = formatValues(parse(text));
  } catch (error) {
    return Err([{ key: '', message: `expected an INI file: ${String(error)}` }]);
  }
  return sectionParsers[role](sections);
}

/** Converts values back to text, because the INI parser converts some scalars to other types. */
function formatValues(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(String).join(',');
  if (typeof value !== 'object' || value === null) return String(value);
  const entries = Object.entries(value).map(([key, part]) => [key, formatValues(part)] as const);
  return Object.fromEntries(entries);
}

function checkSections<Value>(
  schema: z.ZodType<Value>,
  sections: unknown,
): Result<Value, readonly Problem[]> {
  const parsed = schema.safeParse(sections);
  return parsed.success ? Ok(parsed.data) : Err(parsed.error.issues.flatMap(describeIssue));
}

function describeIssue(issue: z.core.$ZodIssue): Problem[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const kind = path.length === 0 ? 'section' : 'key';
    return issue.keys.map((key) => ({
      key: [...path, key].join('.'),
      message: `unknown ${kind}; expected only documented ones`,
    }));
  }
  const key = path.join('.');
  return [{ key, message: path.length === 1 ? `expected section [${key}]` : issue.message }];
}

function buildSettings<Options extends ProcessOptions>(
  settings: EntrySettings | AgentSettings,
  build: (shared: ProcessOptions) => Options,
): Result<{ options: Options; logLevel: LogLevel }, readonly Problem[]> {
  return readTls(settings).map((tls) => {
    const shared: ProcessOptions = {
      processId: settings.process.id,
      host: settings.process.host,
      availabilityZone: settings.process.availability_zone,
      listenHost: settings.links.listen_host,
      linkPort: settings.links.port,
      operatorPort: settings.http.operator_port,
      platformUrl: settings.platform?.url,
      seeds: settings.links.seeds ?? [],
      tls,
      drainLimitMs: settings.limits?.drain ?? defaults.drainLimitMs,
    };
    return { options: build(shared), logLevel: settings.log?.level ?? 'info' };
  });
}

function readTls(
  settings: EntrySettings | AgentSettings,
): Result<TlsMaterial | undefined, readonly Problem[]> {
  const { links, tls } = settings;
  if (tls.plain !== true) return readPemFiles(tls);
  const problems: Problem[] = [];
  if (!isLoopback(links.listen_host)) {
    const message = 'expected false, because links.listen_host is not a loopback address';
    problems.push({ key: 'tls.plain', message });
  }
  for (const seed of links.seeds ?? []) {
    if (isLoopback(parseAddress(seed).host)) continue;
    const message = `expected false, because the seed ${seed} is not a loopback address`;
    problems.push({ key: 'tls.plain', message });
  }
  for (const key of ['cert', 'key', 'ca'] as const) {
    if (tls[key] === undefined) continue;
    problems.push({ key: `tls.${key}`, message: 'expected no file if plain = true' });
  }
  return problems.length === 0 ? Ok(undefined) : Err(problems);
}

function readPemFiles(tls: EntrySettings['tls']): Result<TlsMaterial, readonly Problem[]> {
  const problems: Problem[] = [];
  const readPem = (key: 'cert' | 'key' | 'ca'): Buffer => {
    const path = tls[key];
    try {
      if (path !== undefined) return readFileSync(path);
      problems.push({ key: `tls.${key}`, message: 'expected a file path or plain = true' });
    } catch (error) {
      problems.push({ key: `tls.${key}`, message: `expected a readable file: ${String(error)}` });
    }
    return Buffer.alloc(0);
  };
  const material = { cert: readPem('cert'), key: readPem('key'), ca: readPem('ca') };
  return problems.length === 0 ? Ok(material) : Err(problems);
}

function isLoopback(host: string): boolean {
  return loopback.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}
