import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { defaults } from '../../defaults.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { Fingerprint, UpstreamId } from '../../ids.js';
import { computeLoad, findExclusion } from './eligibility.js';
import { sortByRendezvousHash } from './rendezvous.js';
import type { Candidate, Exclusion, RoutingRequest, RoutingPolicy } from './types.js';

const MAX_SUSPECT_UPSTREAMS = 2;
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

export interface RoutingInput extends RoutingRequest {
  readonly candidates: readonly Candidate[];
  readonly policy: RoutingPolicy;
  readonly tried: ReadonlySet<UpstreamId>;
  readonly fingerprint: Fingerprint;
  /** Crashes during which the fingerprint was in flight. */
  readonly crashes: number;
  /** Upstreams allowed after a crash, best first; see `selectSuspectUpstreams`. */
  readonly suspectUpstreams: readonly UpstreamId[];
}

/**
 * Selects the upstream of one attempt.
 *
 * @param input - Candidates and request
 * @param now - Current time in milliseconds
 * @returns The candidate, or `poisonous_request` or `no_upstream`
 */
export function chooseUpstream(input: RoutingInput, now: number): Result<Candidate, RequestError> {
  if (input.crashes >= defaults.crashesBeforeRefusal)
    return Err(createError('poisonous_request', 'this request crashed its upstream repeatedly'));
  const isEligible = (candidate: Candidate): boolean =>
    findExclusion(candidate, input.tried, now) === undefined;
  const [first] =
    input.crashes === 0
      ? input.policy(input.candidates.filter(isEligible), input)
      : listSuspectCandidates(input).filter(isEligible);
  if (first !== undefined) return Ok(first);
  return Err(createError('no_upstream', 'no upstream accepts work', NO_UPSTREAM_RETRY_AFTER_MS));
}

/**
 * Selects the upstreams where a suspect request may run. All entries select the same ones,
 * whichever agents they are linked to, so copies of a request sent through several entries reach the
 * same upstream.
 *
 * @param fingerprint - Fingerprint of the suspect request
 * @param upstreams - All configured upstreams of the service
 * @returns At most two, best first
 */
export function selectSuspectUpstreams(
  fingerprint: Fingerprint,
  upstreams: readonly UpstreamId[],
): UpstreamId[] {
  return sortByRendezvousHash(fingerprint, upstreams, (id) => id).slice(0, MAX_SUSPECT_UPSTREAMS);
}

function listSuspectCandidates(input: RoutingInput): Candidate[] {
  const found: Candidate[] = [];
  for (const id of input.suspectUpstreams) {
    const candidate = input.candidates.find(({ upstream }) => upstream === id);
    if (candidate !== undefined) found.push(candidate);
  }
  return found;
}

export interface RouteExplanation {
  readonly chosen: string | undefined;
  readonly candidates: readonly {
    readonly upstream: string;
    readonly availabilityZone: string;
    readonly load: number;
    readonly rank: number | undefined;
    readonly exclusion: Exclusion | undefined;
  }[];
}

/**
 * Describes a routing decision as a JSON value.
 *
 * @param candidates - All candidates of the service
 * @param policy - Routing policy
 * @param request - Request to route
 * @param now - Current time in milliseconds
 * @returns Each candidate with load, rank in the policy's order and reason for exclusion
 */
export function explainRoute(
  candidates: readonly Candidate[],
  policy: RoutingPolicy,
  request: RoutingRequest,
  now: number,
): RouteExplanation {
  const noneTried = new Set<UpstreamId>();
  const eligible = candidates.filter(
    (candidate) => findExclusion(candidate, noneTried, now) === undefined,
  );
  const ordered = policy(eligible, request);
  const described = candidates.map((candidate) => {
    const index = ordered.indexOf(candidate);
    return {
      upstream: candidate.upstream,
      availabilityZone: candidate.availabilityZone,
      load: computeLoad(candidate),
      rank: index === -1 ? undefined : index,
      exclusion: findExclusion(candidate, noneTried, now),
    };
  });
  return { chosen: ordered[0]?.upstream, candidates: described };
}
