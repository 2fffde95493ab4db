import { connect } from 'node:net';
import { parseAddress } from '../../connection/linkClient.js';

/** A host that is up accepts within a round trip; zones are under 20 ms apart. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Checks whether a process still accepts connections.
 *
 * @param address - `ip:port`
 * @returns False when the connection is refused or not answered
 */
export function probeListener(address: string): Promise<boolean> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (isListening: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isListening);
    };
    const timer = setTimeout(() => {
      finish(false);
    }, PROBE_TIMEOUT_MS);
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
}
