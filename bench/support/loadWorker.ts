import { Agent, request } from 'undici';
import { runClosedLoop } from './loadGenerator.js';

/** What one load process does; times in milliseconds. */
export interface LoadPlan {
  readonly url: string;
  /** Bearer tokens that take turns. */
  readonly tokens: readonly string[];
  /** JSON body; `$` stands for the number of the request. */
  readonly body: string;
  /** End of a whole answer. */
  readonly endMarker: string;
  /** Work of one request, for example tokens. */
  readonly work: number;
  readonly loops: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

const HTTP_OK = 200;

/** Runs a plan that the parent process sends, and reports counts and the bounds of the measured time. */
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
    if (!text.trimEnd().endsWith(plan.endMarker)) throw new Error('answer without its end marker');
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
