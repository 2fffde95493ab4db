import { setImmediate as waitForTurn } from 'node:timers/promises';

/** A turn of the event loop in which a process with little to do reads its sockets. */
const MAX_LAST_TURN_MS = 0.5;
/** Time without a further connection after which a busy process closes its listener in any case. */
const MAX_QUIET_MS = 250;
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
 * Connections that come between the last accept and the close are reset too, so the last turn must be a short one.
 *
 * @param countAccepted - Number of connections that the listener has accepted so far
 * @param readClock - Current time in milliseconds, with fractions
 */
export async function acceptPending(
  countAccepted: () => number,
  readClock: () => number = () => performance.now(),
): Promise<void> {
  let quietSince = readClock();
  for (let turn = 0; turn < MAX_TURNS; turn += 1) {
    const accepted = countAccepted();
    await waitForTurn();
    const startedAt = readClock();
    await waitForTurn();
    const now = readClock();
    if (countAccepted() > accepted) quietSince = now;
    else if (now - startedAt < MAX_LAST_TURN_MS || now - quietSince > MAX_QUIET_MS) return;
  }
}
