import type { MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { MessageType } from '../../protocol/messages.js';

type AnyHandler = (message: never, link: PeerLink) => void;

/**
 * Merges tables of message handlers; handlers of the same type run in the order of the tables.
 *
 * @param tables - Handler tables
 * @returns The merged table
 */
export function mergeHandlers(tables: readonly MessageHandlers[]): MessageHandlers {
  const merged = new Map<string, AnyHandler>();
  for (const table of tables) {
    for (const [type, handler] of Object.entries(table) as [MessageType, AnyHandler][]) {
      const earlier = merged.get(type);
      merged.set(
        type,
        earlier === undefined
          ? handler
          : (message, link) => {
              earlier(message, link);
              handler(message, link);
            },
      );
    }
  }
  return Object.fromEntries(merged);
}
