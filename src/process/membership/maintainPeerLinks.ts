import { setTimeout as sleep } from 'node:timers/promises';
import { maintainLink } from '../../connection/linkClient.js';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';

export interface PeerLinksOptions {
  readonly self: () => Hello;
  readonly tls?: TlsMaterial | undefined;
  readonly handlers: MessageHandlers;
  /** Returns the addresses to stay linked with; called at every reconciliation. */
  readonly selectAddresses: () => readonly string[];
  readonly reconcileIntervalMs: number;
  readonly onLink: (link: PeerLink, address: string) => void;
  readonly onDown: (address: string) => void;
  readonly signal: AbortSignal;
}

/**
 * Maintains links to a changing set of entries, with one task per address.
 *
 * @param options - Address selection, identity and listeners
 */
export async function maintainPeerLinks(options: PeerLinksOptions): Promise<void> {
  const stopControllers = new Map<string, AbortController>();
  /** Addresses that resolve to this process itself, such as its own seed address. */
  const localAddresses = new Set<string>();
  while (!options.signal.aborted) {
    const wanted = new Set(options.selectAddresses());
    for (const [address, stopController] of stopControllers) {
      if (wanted.has(address)) continue;
      stopController.abort();
      stopControllers.delete(address);
    }
    for (const address of wanted) {
      if (stopControllers.has(address) || localAddresses.has(address)) continue;
      stopControllers.set(address, startTask(address, options, localAddresses));
    }
    await sleep(options.reconcileIntervalMs, undefined, { signal: options.signal }).catch(
      () => undefined,
    );
  }
  for (const stopController of stopControllers.values()) stopController.abort();
}

function startTask(
  address: string,
  options: PeerLinksOptions,
  localAddresses: Set<string>,
): AbortController {
  const stopController = new AbortController();
  void maintainLink({
    address,
    self: options.self,
    tls: options.tls,
    handlers: options.handlers,
    signal: stopController.signal,
    onLink: (link) => {
      if (link.peer.incarnation === options.self().incarnation) {
        localAddresses.add(address);
        stopController.abort();
        return;
      }
      if (stopController.signal.aborted) link.close();
      else options.onLink(link, address);
    },
    onDown: () => {
      if (!stopController.signal.aborted) options.onDown(address);
    },
  });
  return stopController;
}
