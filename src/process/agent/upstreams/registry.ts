import type { Service } from '../../../version/ticket/types.js';
import { createEngineAdapter } from './engine.js';
import { createPlainAdapter } from './plain.js';
import type { UpstreamAdapter } from './types.js';

/** Adapters by service kind. */
export const adapterFactories: Readonly<
  Record<Service['kind'], (url: string, hasPaused: () => boolean) => UpstreamAdapter>
> = {
  engine: createEngineAdapter,
  plain: createPlainAdapter,
};
