import { expect } from 'chai';
import fc from 'fast-check';
import { toId } from '../../ids.js';
import type { StoredObject } from '../ticket/types.js';
import { ConfigurationStore } from './configurationStore.js';

const token = 'a'.repeat(64);
const workspace = (id: string, ticket: number, maxQueued = 5): StoredObject => ({
  key: `workspace/${id}`,
  ticket,
  state: { tokenHashes: [token], shares: { relief: 0.1 }, maxQueued },
});

const objectArbitrary = fc
  .record({
    id: fc.constantFrom('a', 'b', 'c', 'd'),
    ticket: fc.integer({ min: 1, max: 4 }),
    maxQueued: fc.integer({ min: 1, max: 3 }),
    deleted: fc.boolean(),
  })
  .map(({ id, ticket, maxQueued, deleted }): StoredObject => {
    const object = workspace(id, ticket, maxQueued);
    return deleted ? { ...object, state: null } : object;
  });

describe('ConfigurationStore', () => {
  it('guards against merge results that depend on the order or repetition of objects', () => {
    fc.assert(
      fc.property(fc.array(objectArbitrary, { maxLength: 20 }), fc.nat(), (objects, seed) => {
        const left = new ConfigurationStore();
        left.mergeObjects(objects);
        const right = new ConfigurationStore();
        const rotated = [...objects.slice(seed % 7), ...objects.slice(0, seed % 7)].reverse();
        for (const object of [...rotated, ...objects]) right.mergeObjects([object]);
        expect(right.listObjects()).to.deep.equal(left.listObjects());
        expect(right.digest()).to.deep.equal(left.digest());
        expect(right.findWorkspaceByTokenHash(token)).to.equal(
          left.findWorkspaceByTokenHash(token),
        );
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('guards against an older object replacing a newer one or undoing a deletion', () => {
    const store = new ConfigurationStore();
    store.mergeObjects([workspace('a', 7), { ...workspace('b', 8), state: null }]);
    const report = store.mergeObjects([workspace('a', 6, 1), workspace('b', 7)]);
    expect(report).to.deep.include({ accepted: [], ignored: 2 });
    expect(store.getWorkspace(toId('a'))?.maxQueued).to.equal(5);
    expect(store.getWorkspace(toId('b'))).to.equal(undefined);
  });

  it('guards against an invalid object replacing the last valid one', () => {
    const store = new ConfigurationStore();
    store.mergeObjects([workspace('a', 1)]);
    const bad = { key: 'workspace/a', ticket: 2, state: { tokenHashes: [], shares: { x: 2 } } };
    const report = store.mergeObjects([bad]);
    expect(report.refused[0]).to.deep.include({ key: 'workspace/a', path: 'state.shares.x' });
    expect(store.getObject('workspace/a')?.ticket).to.equal(1);
    expect(store.describe()).to.have.nested.property('refused[0].path', 'state.shares.x');
    store.mergeObjects([workspace('a', 3)]);
    expect(store.describe()).to.have.deep.property('refused', []);
  });

  it('guards against an unreported conflict between two states of one ticket number', () => {
    const store = new ConfigurationStore();
    const report = store.mergeObjects([workspace('a', 1, 1), workspace('a', 1, 2)]);
    expect(report.conflicts).to.deep.equal([{ key: 'workspace/a', ticket: 1 }]);
  });

  it('guards against digests that do not locate the bucket of a differing object', () => {
    const left = new ConfigurationStore();
    const right = new ConfigurationStore();
    left.mergeObjects([workspace('a', 1), workspace('b', 1)]);
    right.mergeObjects([workspace('a', 1), workspace('b', 2)]);
    const other = right.digest();
    const differing = [...left.digest().keys()].filter((n) => left.digest()[n] !== other[n]);
    expect(differing).to.have.length(1);
    expect(right.listBucket(differing[0]!).map(({ key }) => key)).to.include('workspace/b');
  });

  it('guards against a crash on malformed objects', () => {
    fc.assert(
      fc.property(fc.string(), fc.double(), fc.anything(), (key, ticket, state) => {
        const report = new ConfigurationStore().mergeObjects([{ key, ticket, state }]);
        expect(report.accepted).to.deep.equal([]);
      }),
      { seed: 2, numRuns: 300 },
    );
  });

  // An exception here would end the loop that reads the platform, so that later tickets were not followed.
  it('guards against an exception for a state that is very deeply nested', () => {
    const store = new ConfigurationStore();
    store.mergeObjects([workspace('a', 1)]);
    const extra: unknown = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000));
    const { state } = workspace('a', 2);
    const odd = [{ ...(state as object), extra }, { ...(state as object), shares: extra }, extra];
    const objects = odd.map((nested) => ({ ...workspace('a', 2), state: nested }));
    const { refused } = store.mergeObjects([...objects, workspace('b', 3)]);
    expect(refused.map(({ key }) => key)).to.deep.equal(odd.map(() => 'workspace/a'));
    const held = store.listObjects().map(({ key, ticket }) => `${key} ${ticket}`);
    expect(held.sort()).to.deep.equal(['workspace/a 1', 'workspace/b 3']);
  });
});
