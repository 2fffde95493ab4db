import { runNamed } from './runNamed.js';
import { loadRun } from './loadRun.js';
import type { NamedRun } from './types.js';

const proofs: Readonly<Record<string, NamedRun>> = {
  orders: {
    summary: 'orders run at most once under faults and are never falsely reported as not-run',
    defaultCount: 200,
    load: () => loadRun('./proofs/orders.js', 'proveOrders'),
  },
  tickets: {
    summary: 'accepted tickets take effect on every process and never revert',
    defaultCount: 20,
    load: () => loadRun('./proofs/tickets.js', 'proveTickets'),
  },
  leaving: {
    summary: 'a leaving upstream receives no new work later than 3 s after the notice',
    defaultCount: 10,
    load: () => loadRun('./proofs/leaving.js', 'proveLeaving'),
  },
  shutdown: {
    summary: 'a graceful shutdown of an entry or agent interrupts no request',
    defaultCount: 10,
    load: () => loadRun('./proofs/shutdown.js', 'proveShutdown'),
  },
  answers: {
    summary:
      'callers get complete responses to their own requests under lost, delayed and duplicated messages',
    defaultCount: 2_000,
    load: () => loadRun('./proofs/answers.js', 'proveAnswers'),
  },
  heldMaps: {
    summary: 'ranks switch maps before the same pass while orders are lost, delayed or duplicated',
    defaultCount: 200,
    load: () => loadRun('./proofs/heldMaps.js', 'proveHeldMaps'),
  },
  endless: {
    summary: 'upstreams that send bytes without end affect neither the gateway nor other callers',
    defaultCount: 3,
    load: () => loadRun('./proofs/endless.js', 'proveEndless'),
  },
  maps: {
    summary: 'ranks of a group use one expert map in every step',
    defaultCount: 200,
    load: () => loadRun('./proofs/maps.js', 'proveMaps'),
  },
};

process.exit(await runNamed('prove', proofs, process.argv.slice(2)));
