import seedrandom from 'seedrandom';
import { createToken, hashText, PrefixCache, splitTokens } from './engineTokens.js';
import type {
  Engine,
  EngineControl,
  EngineOptions,
  EngineStart,
  GenerateRequest,
  GenerationStream,
} from './engineTypes.js';
import {
  closeServer,
  createRouteServer,
  isMain,
  listenOnLoopback,
  readArguments,
} from './httpServer.js';

export { createExpectedTokens } from './engineTokens.js';
export type { Engine, EngineControl, EngineOptions, EngineStart } from './engineTypes.js';

const CRASH_MARKER = 'crash-engine';
const RESTART_DELAY_MS = 300;
const MS_PER_SECOND = 1_000;

/**
 * Starts an engine stand-in: continuous batching, prefix cache, priorities, cancel and resume.
 *
 * @param options - Throughput, limits and faults
 * @returns The running stand-in
 */
export async function startEngine(options: EngineOptions = {}): Promise<Engine> {
  const { maxBatch = 16, baseStepMs = 4, prefillPerMs = 20, loadLagMs = 200 } = options;
  const random = seedrandom(String(options.seed ?? 1));
  const state = { slowFactor: 1, stalled: false, refusing: false, tokensPerSecond: 1000 };
  const counters = { generated: 0, accepted: 0, cancelled: 0, crashes: 0 };
  const cache = new PrefixCache(options.cacheBlocks ?? 1024);
  const lostEvents = new Set<number>();
  /** Requests in order of arrival, so that tests can verify what was started and when. */
  const starts: EngineStart[] = [];
  let waiting: GenerationStream[] = [];
  let running: GenerationStream[] = [];
  let steps = 0;
  let lastStepMs = 0;
  let fencing = -1;
  let closed = false;
  let stepTimer: NodeJS.Timeout | undefined;
  let load = { running: 0, queued: 0, tokens_per_second: 0, steps: 0, last_step_ms: 0 };
  let previousGenerated = 0;

  const control = (change: EngineControl): void => {
    Object.assign(state, change);
  };
  control(pickControl(options));

  const remove = (match: (stream: GenerationStream) => boolean): number => {
    const before = waiting.length + running.length;
    waiting = waiting.filter((stream) => !match(stream));
    running = running.filter((stream) => !match(stream));
    return before - waiting.length - running.length;
  };

  const admit = (): number => {
    waiting.sort((left, right) => right.priority - left.priority);
    let uncached = 0;
    while (running.length < maxBatch) {
      const stream = waiting.shift();
      if (stream === undefined) break;
      uncached += cache.add(stream.tokens, Date.now());
      running.push(stream);
    }
    return uncached;
  };

  const crash = (): void => {
    counters.crashes += 1;
    waiting = [];
    running = [];
    steps = 0;
    if (options.onCrash !== undefined) {
      options.onCrash();
      return;
    }
    void closeServer(server).then(() => {
      setTimeout(() => {
        if (!closed) void listenOnLoopback(server, port);
      }, RESTART_DELAY_MS);
    });
  };

  const finishStep = (): void => {
    if (running.some((stream) => stream.prompt.includes(CRASH_MARKER))) {
      crash();
      return;
    }
    steps += 1;
    for (const stream of [...running]) {
      const { response, next, limit } = stream;
      if (next < limit) {
        const token = createToken(stream.seed, next);
        response.write(`${JSON.stringify({ index: next, token })}\n`);
        stream.next += 1;
        counters.generated += 1;
      }
      if (stream.next < limit) continue;
      running = running.filter((other) => other !== stream);
      const usage = { prompt_tokens: stream.tokens.length, output_tokens: stream.next };
      response.end(`${JSON.stringify({ done: true, finish_reason: 'length', ...usage })}\n`);
    }
  };

  const step = (): void => {
    if (closed || state.stalled || stepTimer !== undefined) return;
    const uncached = admit();
    if (running.length === 0) return;
    const tokenMs = (running.length * MS_PER_SECOND) / state.tokensPerSecond;
    lastStepMs = (baseStepMs + tokenMs + uncached / prefillPerMs) * state.slowFactor;
    stepTimer = setTimeout(() => {
      stepTimer = undefined;
      if (state.stalled) return;
      finishStep();
      step();
    }, lastStepMs);
  };
  // A stall stops the step loop; this timer restarts it.
  const resumeTimer = setInterval(() => {
    if (stepTimer === undefined) step();
  }, 10);

  const loadTimer = setInterval(() => {
    const generated = counters.generated - previousGenerated;
    previousGenerated = counters.generated;
    load = {
      running: running.length,
      queued: waiting.length,
      tokens_per_second: (generated * MS_PER_SECOND) / loadLagMs,
      steps,
      last_step_ms: lastStepMs,
    };
  }, loadLagMs);

  const server = createRouteServer({
    'POST /v1/generate': ({ body, response }) => {
      if (state.refusing) {
        response.writeHead(503).end();
        return undefined;
      }
      const generateRequest = JSON.parse(body.toString('utf8')) as GenerateRequest;
      const { prompt, resume_text: resumed = '', resume_after: next = 0 } = generateRequest;
      counters.accepted += 1;
      starts.push({ id: generateRequest.request_id, prompt, resumeAfter: next, time: Date.now() });
      response.writeHead(200, { 'content-type': 'application/x-ndjson' });
      response.flushHeaders();
      const stream: GenerationStream = {
        id: generateRequest.request_id,
        seed: hashText(prompt),
        prompt,
        tokens: [...splitTokens(prompt), ...splitTokens(resumed)],
        limit: generateRequest.max_tokens,
        priority: generateRequest.priority ?? 0,
        response,
        next,
      };
      waiting.push(stream);
      response.on('close', () => {
        counters.cancelled += remove((other) => other === stream);
      });
      step();
      return undefined;
    },
    'POST /v1/cancel': ({ body }) => {
      const { request_id: id } = JSON.parse(body.toString('utf8')) as { request_id: string };
      for (const stream of [...waiting, ...running])
        if (stream.id === id) stream.response.destroy();
      const cancelled = remove((stream) => stream.id === id);
      counters.cancelled += cancelled;
      return { cancelled };
    },
    'GET /v1/load': () => load,
    'GET /starts': () => starts,
    'GET /v1/cache-events': ({ query }) => {
      const after = Number(query.get('after') ?? 0);
      const due = Date.now() - (options.cacheEventDelayMs ?? 500);
      const events = cache.events.filter(({ sequence, at }) => sequence > after && at <= due);
      for (const { sequence } of events) {
        if (random() < (options.cacheEventLoss ?? 0.1)) lostEvents.add(sequence);
      }
      return { events: events.filter(({ sequence }) => !lostEvents.has(sequence)) };
    },
    'POST /v1/commands': ({ body, response }) => {
      const engineCommand = JSON.parse(body.toString('utf8')) as {
        command: string;
        fencing: number;
      };
      if (options.checksFencing === true && engineCommand.fencing < fencing) {
        response.writeHead(409);
        return { error: 'old fencing number', fencing };
      }
      fencing = Math.max(fencing, engineCommand.fencing);
      return { accepted: engineCommand.command };
    },
    'POST /control': ({ body }) => {
      control(JSON.parse(body.toString('utf8')) as EngineControl);
      return state;
    },
  });
  const port = await listenOnLoopback(server, options.port ?? 0);
  return {
    port,
    url: `http://127.0.0.1:${port}`,
    counters,
    control,
    close: async () => {
      closed = true;
      clearInterval(resumeTimer);
      clearInterval(loadTimer);
      clearTimeout(stepTimer);
      await closeServer(server);
    },
  };
}

function pickControl({ slowFactor, stalled, refusing, tokensPerSecond }: EngineOptions) {
  const entries = Object.entries({ slowFactor, stalled, refusing, tokensPerSecond });
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined)) as EngineControl;
}

if (isMain(import.meta.url)) {
  const onCrash = (): void => {
    process.exit(1);
  };
  const { port } = await startEngine({ ...readArguments(), onCrash });
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`);
}
