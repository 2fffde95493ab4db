import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { FleetNode, FleetNodeOptions, StartFleetNode } from './ticketFleet.js';
import type { NodeArgument, NodeReport } from './ticketNode.js';

const program = fileURLToPath(new URL('./ticketNode.ts', import.meta.url));

/**
 * Creates a function that starts each node as a separate operating system process; `close` sends
 * SIGKILL, pausing sends SIGSTOP.
 *
 * @param kind - Kind of node, a key of `nodeKinds`
 * @returns Function that starts a node
 */
export function createProcessStarter(kind: string): StartFleetNode {
  return (options) => startNodeProcess(kind, options);
}

function startNodeProcess(kind: string, options: FleetNodeOptions): Promise<FleetNode> {
  const { random, onChange, ...rest } = options;
  const argument: NodeArgument = { ...rest, kind, randomSeed: String(random()) };
  const child = fork(program, [JSON.stringify(argument)], { execArgv: ['--import', 'tsx'] });
  const tickets = new Map<string, number>();
  let ready = false;
  let reader = false;
  let closed = false;
  const handlers = {
    change: ({ key, ticket, now }: NodeReport & { type: 'change' }): void => {
      tickets.set(key, ticket);
      onChange(key, now);
    },
    state: (report: NodeReport & { type: 'state' }): void => {
      ({ ready, reader } = report);
    },
  };
  return new Promise((resolve, reject) => {
    child.once('exit', (code) => {
      if (!closed) reject(new Error(`${options.host} exited with code ${code ?? 'null'}`));
    });
    child.on('message', (report: NodeReport) => {
      if (closed) return;
      if (report.type === 'change') handlers.change(report);
      else if (report.type === 'state') handlers.state(report);
      else {
        resolve({
          host: options.host,
          port: report.port,
          getTicket: (key) => tickets.get(key) ?? 0,
          isReady: () => ready,
          isReader: () => reader,
          setPaused: (paused) => {
            child.kill(paused ? 'SIGSTOP' : 'SIGCONT');
          },
          setIsolatedHosts: (hosts) => {
            child.send(hosts);
          },
          close: () => {
            closed = true;
            child.kill('SIGKILL');
          },
        });
      }
    });
  });
}
