import type { Fingerprint, PromptPartId, UpstreamId } from '../../ids.js';

/** What may crash an upstream: one part of a prompt, or a request as a whole. */
export type CrashKey = PromptPartId | Fingerprint;

/** Keys of one request. */
export interface RequestKeys {
  /** Path, workspace and body. */
  readonly request: Fingerprint;
  /** Parts of the prompt that other requests may share. */
  readonly parts: readonly PromptPartId[];
}

/** One crash of an upstream, and the keys of the requests that may have caused it. */
export interface CrashRecord {
  readonly upstream: UpstreamId;
  /** Time of the crash in milliseconds. */
  readonly at: number;
  readonly requests: ReadonlySet<Fingerprint>;
  readonly parts: ReadonlySet<PromptPartId>;
}

/** A key that is held to have caused crashes. */
export interface Suspicion {
  /** Crashes that the key explains. */
  readonly crashes: number;
  /** Time of the last of them in milliseconds. */
  readonly lastAt: number;
}
