import { expect } from 'chai';
import fc from 'fast-check';
import { ConfigurationStore } from '../configuration/configurationStore.js';
import { checkTicket, findOutdatedObjects } from './checkTicket.js';
import { compactTickets } from './compactTickets.js';
import { diffTicket } from './diffTicket.js';
import { parsePublishedValue } from './publishedValue.js';
import { toStoredObjects } from './ticketSchema.js';

const upstream = {
  service: 'relief',
  host: 'h1',
  availabilityZone: 'ikeja',
  address: '127.0.0.1:7000',
  slots: 4,
};
const service = { kind: 'service', id: 'relief', state: { kind: 'engine' } };
const createText = (ticket: unknown, ...objects: unknown[]): string =>
  JSON.stringify({ ticket, objects });
const listPaths = (text: string, store?: ConfigurationStore): string[] => {
  const checked = checkTicket(text, store);
  return checked.isErr() ? checked.error.map(({ path }) => path) : [];
};

describe('checkTicket', () => {
  it('guards against validation errors without the path of the invalid field', () => {
    const bad = { ...upstream, slots: 0 };
    const object = { kind: 'upstream', id: 'a', state: upstream };
    expect({
      number: listPaths(createText(0)),
      hugeNumber: listPaths(createText(1e10)),
      state: listPaths(createText(1, service, { kind: 'upstream', id: 'a', state: bad })),
      kind: listPaths(createText(1, { ...object, kind: 'other' })),
      id: listPaths(createText(1, { ...object, id: 'a/b' })),
      both: listPaths(createText(1, { ...object, deleted: true })),
      neither: listPaths(createText(1, { kind: 'upstream', id: 'a' })),
      duplicate: listPaths(createText(1, object, { kind: 'upstream', id: 'a', deleted: true })),
      reference: listPaths(createText(1, object), new ConfigurationStore()),
      valid: listPaths(createText(1, service, object), new ConfigurationStore()),
      size: listPaths(' '.repeat(1_000_000)),
    }).to.deep.equal({
      number: ['ticket'],
      hugeNumber: ['ticket'],
      state: ['objects.1.state.slots'],
      kind: ['objects.0.kind'],
      id: ['objects.0.id'],
      both: ['objects.0'],
      neither: ['objects.0'],
      duplicate: ['objects.1'],
      reference: ['objects.0.state.service'],
      valid: [],
      size: [''],
    });
  });

  it('guards against a crash of the parsers on malformed input', () => {
    const text = fc.oneof(
      fc.string(),
      fc.json(),
      fc.jsonValue().map((v) => createText(1, v)),
    );
    fc.assert(
      fc.property(text, fc.constantFrom('tickets/0000000001', 'base/00', 'x', ''), (value, key) => {
        checkTicket(value);
        const objects = parsePublishedValue(key, value);
        if (objects.isOk()) new ConfigurationStore().mergeObjects(objects.value);
      }),
      { seed: 3, numRuns: 500 },
    );
  });

  it('guards against base shards that lose objects, numbers or tombstones', () => {
    const store = new ConfigurationStore();
    for (let index = 1; index <= 200; index += 1) {
      const state = index % 5 === 0 ? null : upstream;
      store.mergeObjects([{ key: `upstream/u${index}`, ticket: index, state }]);
    }
    const values = compactTickets(store).unwrap();
    const copy = new ConfigurationStore();
    for (const { key, text } of values) {
      copy.mergeObjects(parsePublishedValue(key, text).unwrap());
    }
    expect(copy.listObjects()).to.deep.equal(store.listObjects());
  });

  it('guards against missing or spurious differences', () => {
    const store = new ConfigurationStore();
    const before = checkTicket(
      createText(3, service, { kind: 'upstream', id: 'a', state: upstream }),
    );
    store.mergeObjects(toStoredObjects(before.unwrap()));
    const next = { ...upstream, slots: 8 };
    const text = createText(4, service, { kind: 'upstream', id: 'a', state: next });
    const changes = diffTicket(store, checkTicket(text).unwrap());
    expect(changes.map(({ key, effect, fields }) => ({ key, effect, fields }))).to.deep.equal([
      { key: 'service/relief', effect: 'unchanged', fields: [] },
      { key: 'upstream/a', effect: 'changed', fields: [{ path: 'slots', before: 4, after: 8 }] },
    ]);
    const old = checkTicket(createText(2, service)).unwrap();
    expect(findOutdatedObjects(old, store)).to.have.length(1);
    expect(diffTicket(store, old)[0]?.effect).to.equal('outdated');
  });
});
