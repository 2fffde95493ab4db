import { connect } from 'node:net';
import { startTimeout } from '../startTimeout.js';
import { parseAddress } from './linkClient.js';

/** A live host accepts within one round trip, which is below 20 ms between availability zones. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Checks whether an address accepts TCP connections.
 *
 * @param address - `ip:port`
 * @returns False when the connection is refused or times out
 */
export function probeListener(address: string): Promise<boolean> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (isListening: boolean): void => {
      cancelTimeout();
      socket.destroy();
      resolve(isListening);
    };
    const cancelTimeout = startTimeout(PROBE_TIMEOUT_MS, () => {
      finish(false);
    });
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('error', () => {
      finish(false);
    });
  });
}
