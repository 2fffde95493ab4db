import seedrandom from 'seedrandom';
import type { FleetNodeOptions, StartFleetNode } from './ticketFleet.js';
import { startDistributedNode, startBaselineNode } from './ticketFleet.js';

const STATE_INTERVAL_MS = 50;

export const nodeKinds: Readonly<Record<string, StartFleetNode>> = {
  distributed: startDistributedNode,
  naive: startBaselineNode,
};

/** JSON argument of this program. */
export type NodeArgument = Omit<FleetNodeOptions, 'random' | 'onChange'> & {
  readonly kind: string;
  readonly randomSeed: string;
};

/** Messages from this program to its parent over the IPC channel, in order. */
export type NodeReport =
  | { readonly type: 'started'; readonly port: number }
  | {
      readonly type: 'change';
      readonly key: string;
      readonly ticket: number;
      readonly now: number;
    }
  | { readonly type: 'state'; readonly ready: boolean; readonly reader: boolean };

async function runNode(argument: NodeArgument): Promise<void> {
  const startNode = nodeKinds[argument.kind];
  if (startNode === undefined) throw new Error(`unknown kind of node ${argument.kind}`);
  const report = (message: NodeReport): void => {
    process.send?.(message);
  };
  const node = await startNode({
    ...argument,
    random: seedrandom(argument.randomSeed),
    onChange: (key, now) => {
      report({ type: 'change', key, ticket: node.getTicket(key), now });
    },
  });
  report({ type: 'started', port: node.port });
  process.on('message', (hosts: string[]) => {
    node.setIsolatedHosts(hosts);
  });
  process.on('disconnect', () => {
    process.exit(0);
  });
  let last = '';
  setInterval(() => {
    const state: NodeReport = { type: 'state', ready: node.isReady(), reader: node.isReader() };
    const text = JSON.stringify(state);
    if (text === last) return;
    last = text;
    report(state);
  }, STATE_INTERVAL_MS);
}

if (process.send !== undefined && process.argv[2] !== undefined) {
  await runNode(JSON.parse(process.argv[2]) as NodeArgument);
}
