import { expect } from 'chai';
import type { PeerLink } from '../../connection/peerLink.js';
import type { Message } from '../../protocol/messages.js';
import { ConfigurationStore } from '../../version/configuration/configurationStore.js';
import type { StoredObject } from '../../version/ticket/types.js';
import { PeerExchange } from './peerExchange.js';

const createObject = (id: string, ticket: number): StoredObject => ({
  key: `workspace/${id}`,
  ticket,
  state: { tokenHashes: [], shares: {} },
});

/** Connects two exchanges through synchronous links and records the messages sent by the first. */
function connectExchanges(): {
  stores: ConfigurationStore[];
  first: PeerExchange;
  sent: Message[];
} {
  const stores = [new ConfigurationStore(), new ConfigurationStore()];
  const exchanges = stores.map((store) => new PeerExchange(store, Date.now, () => false));
  const sent: Message[] = [];
  const links: PeerLink[] = [];
  for (const [index, processId] of ['second', 'first'].entries()) {
    const send = (message: Message): boolean => {
      if (index === 0) sent.push(message);
      const target = exchanges[1 - index]!;
      const link = links[1 - index]!;
      if (message.type === 'digest') target.handleDigest(message, link);
      if (message.type === 'configuration') target.handleConfiguration(message, link);
      return true;
    };
    const peer = { processId, incarnation: processId };
    const onClose = (): void => undefined;
    links.push({ peer, isOpen: true, bufferedBytes: 0, onClose, send } as unknown as PeerLink);
  }
  for (const [index, exchange] of exchanges.entries()) exchange.addLink(links[index]!);
  sent.length = 0;
  return { stores, first: exchanges[0]!, sent };
}

describe('PeerExchange', () => {
  it('guards against lost objects that a root hash comparison does not repair', () => {
    const { stores, first } = connectExchanges();
    stores[0]!.mergeObjects([createObject('ikeja', 3), createObject('apapa', 1)]);
    stores[1]!.mergeObjects([createObject('lekki', 2), createObject('apapa', 4)]);
    first.requestRandomSync(0);
    expect(stores[0]!.listObjects()).to.deep.equal(stores[1]!.listObjects());
    expect(stores[0]!.getObject('workspace/apapa')?.ticket).to.equal(4);
    expect(stores[1]!.getObject('workspace/ikeja')?.ticket).to.equal(3);
  });

  it('guards against sending all bucket hashes between processes with equal objects', () => {
    const { stores, first, sent } = connectExchanges();
    for (const store of stores) store.mergeObjects([createObject('ikeja', 1)]);
    first.requestRandomSync(0);
    expect(
      sent.map((message) => message.type === 'digest' && message.buckets.length),
    ).to.deep.equal([1]);
  });

  it('guards against objects that remain lost after a pause or partition', () => {
    const { stores, first, sent } = connectExchanges();
    stores[1]!.mergeObjects([createObject('ikeja', 1)]);
    const [, link] = [...first.listPeers()][0]!;
    first.addLink(link);
    expect(sent.length).to.be.greaterThan(0);
    expect(stores[0]!.getObject('workspace/ikeja')?.ticket).to.equal(1);
  });
});
