import { expect } from 'chai';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { EngineModel, ServiceDefinition, UpstreamEntry } from '../../version/routing/types.js';
import { computePassMs, GroupPace } from './groupPace.js';
import { PlaceBoard } from './placeBoard.js';
import type { Place, PlaceRequest } from './types.js';
import { WaitingLine } from './waitingLine.js';

const service = toId<ServiceId>('s');
const zone = toId<AvailabilityZoneId>('z');
const engine: EngineModel = {
  slots: 8,
  kvCacheTokens: 300_000,
  stepsPerPass: 6,
  stepMs: 4.84,
  stepMsPerRequest: 0.543,
  prefillTokensPerMs: 74.8,
  typicalPromptTokens: 835,
  typicalOutputTokens: 159,
};
const upstreams: UpstreamEntry[] = ['a', 'b'].map((id) => ({
  id: toId<UpstreamId>(id),
  service,
  address: '10.0.0.1:80',
  availabilityZone: zone,
  slots: 8,
  isDraining: false,
}));
const createBoard = (
  definition: ServiceDefinition = { id: service, maxConnections: 9, engine },
): PlaceBoard =>
  new PlaceBoard({
    availabilityZone: zone,
    listReady: () => upstreams,
    getService: () => definition,
    getMaxGapMs: () => 120,
  });
const createRequest = (fields: Partial<PlaceRequest> = {}): PlaceRequest => ({
  service,
  excluded: new Set(),
  priority: 1,
  arrivedAt: 0,
  expiresAt: 5000,
  maxWaitMs: 180,
  ...fields,
});
const signal = new AbortController().signal;

describe('places per engine under load that outgrows its group', () => {
  it('guards against pauses over the limit when the experts are out of balance', () => {
    for (const skew of [1, 1.5, 2, 2.5, 3]) {
      const pace = new GroupPace();
      let places = engine.slots;
      for (let pass = 0; pass < 60; pass += 1) {
        pace.notePass(computePassMs(places, engine) * skew, places, engine);
        places = pace.computePlaces(120, engine);
      }
      const passMs = computePassMs(places, engine) * skew;
      expect(passMs, `skew ${skew}`).to.be.at.most(places > 2 ? 120 : 140);
    }
  });

  it('guards against a balanced engine that is left half empty', () => {
    const pace = new GroupPace();
    for (let pass = 0; pass < 60; pass += 1) pace.notePass(computePassMs(8, engine), 8, engine);
    expect(pace.computePlaces(120, engine)).to.equal(8);
  });

  it('guards against gateways that fill the same places', () => {
    const board = createBoard();
    board.applyPeerCounts('other', new Map([['a', 8]]), 0);
    const taken: string[] = [];
    for (;;) {
      const place = board.takePlace(createRequest(), 1);
      if (place === undefined) break;
      taken.push(place.upstream.id);
    }
    expect(new Set(taken)).to.deep.equal(new Set(['b']));
  });

  it('guards against places lost to a gateway that is gone', () => {
    const board = createBoard();
    board.applyPeerCounts(
      'other',
      new Map([
        ['a', 8],
        ['b', 8],
      ]),
      0,
    );
    expect(board.takePlace(createRequest(), 100)).to.equal(undefined);
    expect(board.takePlace(createRequest(), 4000)).to.not.equal(undefined);
  });

  it('guards against taking a full upstream for one whose group is broken', () => {
    const board = createBoard();
    const [a] = upstreams;
    if (a === undefined) throw new Error('no upstream');
    board.applyPeerCounts('other', new Map([['a', 7]]), 0);
    expect(board.isFull(a, 1)).to.equal(false);
    board.applyPeerCounts('other', new Map([['a', 8]]), 2);
    expect(board.isFull(a, 3)).to.equal(true);
  });

  it('guards against new work for an upstream that has just failed', () => {
    const board = createBoard();
    board.noteFault(upstreams[0]!.id, 0);
    for (let count = 0; count < 3; count += 1) {
      expect(board.takePlace(createRequest(), 10)?.upstream.id).to.equal('b');
    }
  });
});

describe('waiting line under a burst', () => {
  const fill = (board: PlaceBoard): Place[] => {
    const places: Place[] = [];
    for (;;) {
      const place = board.takePlace(createRequest(), 0);
      if (place === undefined) return places;
      places.push(place);
    }
  };

  it('guards against callers who wait for places that cannot come free in time', async () => {
    const board = createBoard();
    const places = fill(board);
    const line = new WaitingLine(service, board);
    for (let at = 0; at < 2000; at += 50) line.noteFreed(at);
    const results = [];
    for (let count = 0; count < 10; count += 1) {
      results.push(line.requestPlace(createRequest(), 2000, signal));
    }
    expect(line.length).to.equal(3);
    const refused = await results[9]!;
    expect(refused.isErr() && refused.error.code).to.equal('overloaded');
    expect(refused.isErr() && refused.error.retryAfterMs).to.be.within(80, 2500 * 1.5);
    places[0]!.release(2010);
    line.dispatchWaiting(2010);
    expect((await results[0]!).isOk()).to.equal(true);
    expect(line.length).to.equal(2);
  });

  it('guards against an urgent request behind a less urgent one', async () => {
    const board = createBoard();
    const places = fill(board);
    const line = new WaitingLine(service, board);
    const late = line.requestPlace(createRequest({ priority: 5 }), 0, signal);
    const urgent = line.requestPlace(createRequest({ priority: 0 }), 1, signal);
    places[0]!.release(2);
    line.dispatchWaiting(2);
    expect((await urgent).isOk()).to.equal(true);
    line.dispatchWaiting(6000);
    const ended = await late;
    expect(ended.isErr() && ended.error.code).to.equal('expired');
  });
});

describe('waiting line while all groups of a service form anew', () => {
  const breakAll = (board: PlaceBoard, now: number): void => {
    for (const { id } of upstreams) board.health.noteBroken(id, now);
  };

  it('guards against refusing callers, who come back only once, shortly before the groups open', async () => {
    const board = createBoard();
    breakAll(board, 0);
    const line = new WaitingLine(service, board);
    const results = Array.from({ length: 12 }, (_, index) =>
      line.requestPlace(createRequest({ expiresAt: index + 1_200 }), index, signal),
    );
    expect(line.length).to.equal(12);
    line.dispatchWaiting(400);
    expect(line.length, 'one trial for each group').to.equal(10);
    for (const { id } of upstreams) board.health.noteProgress(id, 460);
    line.dispatchWaiting(461);
    expect(line.length).to.equal(0);
    for (const result of results) expect((await result).isOk()).to.equal(true);
  });

  it('guards against holding callers in an outage that does not end', async () => {
    const board = createBoard();
    breakAll(board, 0);
    breakAll(board, 2_400);
    const line = new WaitingLine(service, board);
    const result = await line.requestPlace(createRequest({ expiresAt: 9_000 }), 2_500, signal);
    expect(result.isErr() && result.error.code).to.equal('overloaded');
    expect(result.isErr() && result.error.retryAfterMs).to.be.within(1_000, 2_500);
  });

  it('guards against a line that hides the loss of capacity while one group still serves', async () => {
    const board = createBoard();
    board.health.noteBroken(upstreams[0]!.id, 0);
    for (;;) if (board.takePlace(createRequest(), 1) === undefined) break;
    const line = new WaitingLine(service, board);
    for (let at = 0; at < 100; at += 50) line.noteFreed(at);
    const result = await line.requestPlace(createRequest(), 100, signal);
    expect(result.isErr() && result.error.code).to.equal('overloaded');
  });
});
