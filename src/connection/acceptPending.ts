import { setImmediate as waitForTurn } from 'node:timers/promises';

/** Turns of the event loop after which a listener is closed although connections go on arriving. */
const MAX_TURNS = 4_096;

/** Waits for one complete poll phase of the event loop, which lies between two check phases. */
export async function pollSocketsOnce(): Promise<void> {
  await waitForTurn();
  await waitForTurn();
}

/**
 * Waits until a listener has accepted the connections in its queue, which the kernel resets when it is closed. Node
 * accepts one connection in each turn of its event loop.
 *
 * @param countAccepted - Number of connections that the listener has accepted so far
 */
export async function acceptPending(countAccepted: () => number): Promise<void> {
  let accepted = -1;
  for (let turn = 0; turn < MAX_TURNS && countAccepted() > accepted; turn += 1) {
    accepted = countAccepted();
    await pollSocketsOnce();
  }
}
