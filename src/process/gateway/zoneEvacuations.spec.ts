import { expect } from 'chai';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { LogFields } from '../logging.js';
import { Metrics } from '../metrics.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import type { EvacuationRead } from './zoneEvacuations.js';
import { ZoneEvacuations } from './zoneEvacuations.js';

const service = toId<ServiceId>('s');
const zoneNames = ['a', 'b', 'c'];
const toZones = (names: string): AvailabilityZoneId[] =>
  names.split('').map((name) => toId<AvailabilityZoneId>(name));

/** Creates evacuations over one upstream in each of the zones `a`, `b` and `c`. */
function createEvacuations() {
  const directory = new UpstreamDirectory();
  const entries = zoneNames.map((zone, index) => ({
    id: toId<UpstreamId>(`in-${zone}`),
    service,
    address: `10.0.0.${index}:80`,
    availabilityZone: toId<AvailabilityZoneId>(zone),
    slots: 4,
    isDraining: false,
    startedAt: 1,
  }));
  directory.applyListing(entries, 0, 0);
  const lines: [string, LogFields][] = [];
  const discard = (): void => undefined;
  const logger = {
    debug: discard,
    warn: discard,
    error: discard,
    info: (fields: LogFields, message: string) => {
      lines.push([message, fields]);
    },
  };
  const metrics = new Metrics();
  const evacuations = new ZoneEvacuations({ directory, logger, metrics });
  return {
    directory,
    entries,
    lines,
    metrics,
    evacuations,
    /** Applies a read that was sent at a time and arrives 5 ms later, or later. */
    read: (names: string, at: number, fields: Partial<EvacuationRead> = {}, arrivesAt = at + 5) =>
      evacuations.apply(
        { zones: toZones(names), readStartedAt: at, era: 0, isComplete: true, ...fields },
        arrivesAt,
        arrivesAt,
      ),
    listUsable: (): string =>
      directory
        .listReady(service)
        .map(({ availabilityZone }) => availabilityZone)
        .join(''),
  };
}

describe('evacuated availability zones', () => {
  it('guards against work for an evacuated zone, and against none after it is taken back', () => {
    const { read, listUsable, evacuations, metrics, lines } = createEvacuations();
    const seen: string[] = [];
    const reads = ['', 'a', 'a', 'ab', 'abc', 'b', '', 'a', 'd', ''];
    for (const [index, names] of reads.entries()) {
      const isChanged = read(names, index * 650);
      seen.push(`${names}: ${listUsable()}${isChanged ? ', changed' : ''}`);
    }
    expect(seen).to.deep.equal([
      ': abc',
      'a: bc, changed',
      'a: bc',
      'ab: c, changed',
      'abc: , changed',
      'b: ac, changed',
      ': abc, changed',
      'a: bc, changed',
      'd: abc, changed',
      ': abc, changed',
    ]);
    expect(metrics.getCount('zone_evacuations_started')).to.equal(5);
    expect(metrics.getCount('zone_evacuations_ended')).to.equal(5);
    expect(lines[0]).to.deep.equal([
      'availability zone out of service',
      { availabilityZone: 'a', upstreams: 1, readAgeMs: 5 },
    ]);
    const ofUnknown = lines.filter(([, { availabilityZone }]) => availabilityZone === 'd');
    expect(ofUnknown.map(([, { upstreams }]) => upstreams)).to.deep.equal([0, 0]);
    expect(evacuations.describe(6_000)).to.deep.equal({ zones: [], ageMs: 150, era: 0 });
  });

  it('guards against a zone that comes back because an upstream is listed anew', () => {
    const { read, listUsable, directory, entries } = createEvacuations();
    read('a', 650);
    const restarted = entries.map((entry) => ({ ...entry, startedAt: 2 }));
    directory.applyListing(restarted, 700, 705);
    expect(listUsable()).to.equal('bc');
  });

  it('guards against an older read that arrives late, in both directions', () => {
    const { read, listUsable } = createEvacuations();
    read('a', 1_000);
    read('', 400, {}, 1_100);
    expect(listUsable()).to.equal('bc');
    read('', 2_000);
    read('a', 1_900, {}, 2_500);
    expect(listUsable()).to.equal('abc');
  });

  it('guards against zones that come back while nothing newer is heard', () => {
    const { read, listUsable, evacuations } = createEvacuations();
    read('a', 1_000);
    expect(evacuations.computeAge(61_000)).to.equal(60_000);
    expect(listUsable()).to.equal('bc');
  });

  it('guards against a zone that comes back because the copy of a restored store lacks it', () => {
    const { read, listUsable } = createEvacuations();
    const era = 1;
    read('a', 1_000);
    read('', 2_000, { era });
    expect(listUsable(), 'restored').to.equal('bc');
    // The configuration is written again before the evacuated zone is.
    read('', 3_000, { era });
    expect(listUsable(), 'partly written again').to.equal('bc');
    read('', 2_100, { era: 0 }, 5_000);
    expect(listUsable(), 'reply of the earlier era').to.equal('bc');
    read('a', 4_300, { era });
    read('', 6_000, { era });
    expect(listUsable(), 'taken back').to.equal('abc');
  });

  it('guards against a zone that stays out because the copy still has its evacuation', () => {
    const { read, listUsable } = createEvacuations();
    const era = 1;
    read('a', 1_000);
    read('', 1_650);
    read('a', 2_300, { era });
    expect(listUsable()).to.equal('bc');
    read('', 3_000, { era });
    read('', 4_600, { era });
    expect(listUsable()).to.equal('abc');
  });

  it('guards against a zone that comes back while the restored store returns an older configuration', () => {
    const { read, listUsable } = createEvacuations();
    const era = 1;
    read('a', 1_000);
    for (let at = 2_000; at < 12_000; at += 650) read('', at, { era, isComplete: false });
    expect(listUsable()).to.equal('bc');
    read('', 12_000, { era });
    expect(listUsable()).to.equal('abc');
  });

  it('guards against a new process that trusts its first read of a restored store alone', () => {
    const { read, listUsable } = createEvacuations();
    read('', 1_000, { era: 1, isComplete: false });
    // A peer has not read the restored store yet.
    read('a', 900, { era: 0 }, 1_020);
    expect(listUsable()).to.equal('bc');
    read('a', 3_300, { era: 1 });
    expect(listUsable()).to.equal('bc');
  });
});
