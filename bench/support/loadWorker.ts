import { Agent, request } from 'undici';
import { runClosedLoop } from './loadGenerator.js';

/** Work of one load process; times in milliseconds. */
export interface LoadPlan {
  readonly url: string;
  /** Bearer tokens, used in rotation. */
  readonly tokens: readonly string[];
  /** JSON body; `$` is replaced by the process id and the index of the request. */
  readonly body: string;
  /** End of a complete response. */
  readonly endMarker: string;
  /** Units of work per request, for example tokens. */
  readonly work: number;
  readonly loops: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

const HTTP_OK = 200;

/** Runs the plan received from the parent process, and reports the start of the measurement and the totals. */
async function runPlan(plan: LoadPlan): Promise<void> {
  const pool = new Agent({ connections: plan.loops });
  const send = async (index: number): Promise<number> => {
    const token = plan.tokens[index % plan.tokens.length] ?? '';
    const response = await request(plan.url, {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${token}` },
      body: plan.body.replace('$', `${process.pid}-${index}`),
      dispatcher: pool,
    });
    const text = await response.body.text();
    if (response.statusCode !== HTTP_OK) throw new Error(`HTTP ${response.statusCode} ${text}`);
    if (!text.trimEnd().endsWith(plan.endMarker))
      throw new Error('response ended without its end marker');
    return plan.work;
  };
  const { loops } = plan;
  await runClosedLoop(send, { loops, durationMs: plan.warmUpMs });
  process.send?.({ measuring: true });
  const result = await runClosedLoop(send, { loops, durationMs: plan.durationMs });
  process.send?.({ result });
}

process.once('message', (plan: LoadPlan) => {
  void runPlan(plan).then(() => {
    process.disconnect();
  });
});
