import { hashPair, sortByWeight } from '../../request/routing/rendezvousOrder.js';

const READER_KEY = 'store reader';
/** Gateways that are asked before a gateway reads the store itself. */
const MAX_READERS = 2;

/**
 * Lists the gateways that read the store for the others. The first one always reads; each later one reads when those
 * before it have nothing recent. All gateways that are linked with each other choose the same ones.
 *
 * @param self - This gateway
 * @param linked - Gateways with a link to this one
 * @returns Gateways to ask, in order, before this one reads the store; empty for the first reader
 */
export function listReadersToAsk(self: string, linked: readonly string[]): string[] {
  const sorted = sortByWeight(
    [self, ...linked],
    (id) => id,
    (id) => hashPair(READER_KEY, id),
  );
  const position = sorted.indexOf(self);
  return sorted.slice(0, Math.min(position, MAX_READERS));
}
