import { runNamed } from './runNamed.js';
import type { NamedRun } from './types.js';
import { loadRun } from './loadRun.js';

const benches: Readonly<Record<string, NamedRun>> = {
  path: {
    summary: 'latency added by entry and agent, and throughput of one entry process',
    defaultCount: 2000,
    load: () => loadRun('./benches/path.js', 'benchPath'),
  },
  gatewayPath: {
    summary: 'CPU time of one gateway process for each request and each event, in calm',
    defaultCount: 4000,
    load: () => loadRun('./benches/gatewayPath.js', 'benchGatewayPath'),
  },
  experts: {
    summary: 'step-time skew and moves of the placement policies over a day of drifting load',
    defaultCount: 1,
    load: () => loadRun('./benches/experts.js', 'benchExperts'),
  },
  copies: {
    summary: 'skew and copies of groups whose demand shifts to other experts every few seconds',
    defaultCount: 1,
    load: () => loadRun('./benches/copyPlans.js', 'benchCopyPlans'),
  },
  slopes: {
    summary: 'memory, CPU time and bytes per unit of size, as fitted lines',
    defaultCount: 1,
    load: () => loadRun('./benches/slopes.js', 'benchSlopes'),
  },
  shares: {
    summary: 'small workspaces alongside large ones that offer ten times the capacity',
    defaultCount: 8,
    load: () => loadRun('./benches/shares.js', 'benchShares'),
  },
  bursts: {
    summary: 'bursts and lasting overload: who waits, who is refused and who is served',
    defaultCount: 5,
    load: () => loadRun('./benches/bursts.js', 'benchBursts'),
  },
  poison: {
    summary: 'requests that crash every upstream that runs them, mixed with normal traffic',
    defaultCount: 3,
    load: () => loadRun('./benches/poison.js', 'benchPoison'),
  },
  faults: {
    summary:
      'slow, stalled and refusing engines and the loss of an availability zone, without a platform',
    defaultCount: 4,
    load: () => loadRun('./benches/faults.js', 'benchFaults'),
  },
};

process.exit(await runNamed('bench', benches, process.argv.slice(2)));
