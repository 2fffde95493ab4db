import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';
import { parseAddress } from '../../connection/linkClient.js';
import { defaults } from '../../defaults.js';
import type { ResponseLimits } from '../../request/forwarding/types.js';
import type { LogLevel } from '../logging.js';
import type { SettingsError } from './readSettings.js';

export interface GatewaySettings {
  readonly processId: string;
  readonly availabilityZone: string;
  readonly logLevel: LogLevel;
  readonly host: string;
  readonly frontPort: number;
  readonly readyPort: number;
  /** Address of this process for links between gateways, `ip:port`. */
  readonly linkAddress: string;
  readonly seeds: readonly string[];
  /** Port of the metrics and state dump endpoints on `host`. */
  readonly metricsPort: number;
  readonly storeAddress: string;
  /** Maximum time for which a revoked API key is still accepted. */
  readonly keyRevocationLimitMs: number;
  /** Time between SIGTERM and SIGKILL. */
  readonly stopLimitMs: number;
  readonly repeats: {
    readonly windowMs: number;
    readonly ratio: number;
    readonly extra: number;
    /** Number of gateways that share `extra`. */
    readonly gateways: number;
  };
  /** Longest pause that an upstream may ask for with a refusal. */
  readonly maxUpstreamPauseMs: number;
  readonly callers: CallerLimits;
  readonly responses: ResponseLimits & {
    /** Bytes of a stream that a slow caller may leave unread before its upstream is paused. */
    readonly maxUnreadBytes: number;
    /** Bytes that all incomplete responses hold in memory, beyond 1 MB each. */
    readonly maxBufferedBytes: number;
  };
}

/** Bounds on what the callers of a gateway may make it hold. */
export interface CallerLimits {
  /** Open connections; beyond them, those that serve their callers least are closed. */
  readonly maxConnections: number;
  /** Requests in progress on one connection. */
  readonly maxRequestsPerConnection: number;
  /** Requests in progress on all connections, above which a connection with one is read no further. */
  readonly maxPipelinedRequests: number;
  /** Bytes of all request bodies and unread responses, beyond 16 KB each. */
  readonly maxHeldBytes: number;
}

/** Below it, ordinary responses would be rejected. */
const MIN_RESPONSE_LIMIT_BYTES = 1024;

export const addressField = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, { error: 'expected an address such as 10.0.0.1:8080' });
const number = z.coerce.number({ error: 'expected a number' }).nonnegative();
const byteCount = () =>
  z.coerce
    .number({ error: 'expected a number of bytes from 1024' })
    .int()
    .min(MIN_RESPONSE_LIMIT_BYTES, { error: 'expected a number of bytes from 1024' });
const positiveCount = () =>
  z.coerce
    .number({ error: 'expected a whole number from 1' })
    .int({ error: 'expected a whole number from 1' })
    .min(1, { error: 'expected a whole number from 1' });
const addresses = z
  .string()
  .default('')
  .transform((text) =>
    text
      .split(',')
      .map((part) => part.trim())
      .filter((part) => part !== ''),
  );

/** Bounds of responses used unless the settings state others. */
export const defaultResponseLimits: GatewaySettings['responses'] = {
  maxFramingBytes: defaults.maxResponseFramingBytes,
  maxBodyBytes: defaults.maxResponseBodyBytes,
  maxEventBytes: defaults.maxEventBytes,
  maxUnreadBytes: defaults.maxUnreadBytes,
  maxBufferedBytes: defaults.maxBufferedBytes,
};

/** Descriptors that are kept for files, upstreams, other gateways and the ports of operators. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors that callers may use; as many remain for their requests at upstreams. */
const CALLER_DESCRIPTOR_SHARE = 0.5;
const CONNECTIONS_PER_MB = 5;
/** Share of the memory of the host for bodies and unread responses. */
const HELD_MEMORY_SHARE = 0.1;
/** Share of the memory of the host for incomplete responses of upstreams. */
const BUFFERED_MEMORY_SHARE = 0.2;
const BYTES_PER_MB = 1024 * 1024;

interface HostLimits {
  readonly memory_mb: number;
  readonly descriptors: number;
}

function computeMaxConnections({ memory_mb: memoryMb, descriptors }: HostLimits): number {
  const free = (descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE;
  return Math.max(1, Math.floor(Math.min(free, memoryMb * CONNECTIONS_PER_MB)));
}

function computeMaxHeldBytes({ memory_mb: memoryMb }: HostLimits): number {
  return Math.floor(memoryMb * BYTES_PER_MB * HELD_MEMORY_SHARE);
}

function computeMaxBufferedBytes({ memory_mb: memoryMb }: HostLimits): number {
  const share = Math.floor(memoryMb * BYTES_PER_MB * BUFFERED_MEMORY_SHARE);
  return Math.min(defaults.maxBufferedBytes, share);
}

const defaultHost: HostLimits = {
  memory_mb: defaults.hostMemoryMb,
  descriptors: defaults.hostDescriptors,
};

/** Bounds of callers used unless the settings state others. */
export const defaultCallerLimits: CallerLimits = {
  maxConnections: computeMaxConnections(defaultHost),
  maxRequestsPerConnection: defaults.maxRequestsPerConnection,
  maxPipelinedRequests: defaults.maxPipelinedRequests,
  maxHeldBytes: computeMaxHeldBytes(defaultHost),
};

/** Port used in the deployment files; any free port works. */
const DEFAULT_METRICS_PORT = 9464;

export const metricsPortField = z.coerce
  .number({ error: 'expected a port from 0 to 65535' })
  .int()
  .min(0)
  .max(65_535)
  .default(DEFAULT_METRICS_PORT);

const gatewaySchema = z
  .object({
    process: z.object({
      id: z.string().min(1),
      availability_zone: z.string().min(1),
      log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      stop_limit_seconds: number,
    }),
    listen: z.object({
      front: addressField,
      ready: addressField,
      links: addressField,
      metrics_port: metricsPortField,
    }),
    peers: z.object({ seeds: addresses }),
    store: z.object({ address: addressField }),
    keys: z.object({ proof_ms: number }),
    repeats: z.object({
      window_seconds: number,
      ratio: number,
      extra: number,
      gateways: z.coerce.number().int().positive().default(8),
    }),
    upstreams: z
      .object({ max_pause_seconds: number.default(defaults.maxUpstreamPauseMs / 1000) })
      .prefault({}),
    host: z
      .object({
        memory_mb: positiveCount().default(defaults.hostMemoryMb),
        descriptors: positiveCount().default(defaults.hostDescriptors),
      })
      .prefault({}),
    callers: z
      .object({
        max_connections: positiveCount().optional(),
        max_requests_per_connection: positiveCount().default(defaults.maxRequestsPerConnection),
        max_pipelined_requests: positiveCount().default(defaults.maxPipelinedRequests),
        max_held_bytes: byteCount().optional(),
      })
      .prefault({}),
    responses: z
      .object({
        max_framing_bytes: byteCount().default(defaults.maxResponseFramingBytes),
        max_body_bytes: byteCount().default(defaults.maxResponseBodyBytes),
        max_event_bytes: byteCount().default(defaults.maxEventBytes),
        max_unread_bytes: byteCount().default(defaults.maxUnreadBytes),
        max_buffered_bytes: byteCount().optional(),
      })
      .prefault({}),
  })
  .superRefine(({ host, callers }, context) => {
    const most = host.descriptors - RESERVED_DESCRIPTORS;
    if (callers.max_connections === undefined || callers.max_connections <= most) return;
    const message = `expected at most ${most}, as the host has ${host.descriptors} descriptors`;
    context.addIssue({ code: 'custom', path: ['callers', 'max_connections'], message });
  });

/**
 * Reads and validates the settings of a gateway.
 *
 * @param file - Path of the INI file
 * @returns Settings, or all errors with file, `section.key` and the expected value
 */
export function readGatewaySettings(file: string): Result<GatewaySettings, SettingsError[]> {
  return readSections(file, gatewaySchema).map(
    ({ process, listen, peers, store, keys, repeats, upstreams, host, callers, responses }) => ({
      processId: process.id,
      availabilityZone: process.availability_zone,
      logLevel: process.log_level,
      host: parseAddress(listen.front).host,
      frontPort: parseAddress(listen.front).port,
      readyPort: parseAddress(listen.ready).port,
      linkAddress: listen.links,
      metricsPort: listen.metrics_port,
      seeds: peers.seeds,
      storeAddress: store.address,
      keyRevocationLimitMs: keys.proof_ms,
      stopLimitMs: process.stop_limit_seconds * 1000,
      repeats: {
        windowMs: repeats.window_seconds * 1000,
        ratio: repeats.ratio,
        extra: repeats.extra,
        gateways: repeats.gateways,
      },
      maxUpstreamPauseMs: upstreams.max_pause_seconds * 1000,
      callers: {
        maxConnections: callers.max_connections ?? computeMaxConnections(host),
        maxRequestsPerConnection: callers.max_requests_per_connection,
        maxPipelinedRequests: callers.max_pipelined_requests,
        maxHeldBytes: callers.max_held_bytes ?? computeMaxHeldBytes(host),
      },
      responses: {
        maxFramingBytes: responses.max_framing_bytes,
        maxBodyBytes: responses.max_body_bytes,
        maxEventBytes: responses.max_event_bytes,
        maxUnreadBytes: responses.max_unread_bytes,
        maxBufferedBytes: responses.max_buffered_bytes ?? computeMaxBufferedBytes(host),
      },
    }),
  );
}

/**
 * Reads an INI file and validates its sections.
 *
 * @param file - Path of the INI file
 * @param schema - Schema of the sections; unknown sections are ignored
 * @returns Validated sections, or all errors
 */
export function readSections<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Result<z.infer<Schema>, SettingsError[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return Err([{ file, key: '', message: `cannot read file: ${String(error)}` }]);
  }
  const parsed = schema.safeParse(parse(text));
  if (parsed.success) return Ok(parsed.data);
  const problems: SettingsError[] = [];
  for (const issue of parsed.error.issues) {
    problems.push({ file, key: issue.path.join('.'), message: issue.message });
  }
  return Err(problems);
}
