/** Public API of the parsleyfold library. */
export { defaults } from './defaults.js';
export { createError, errorTraits } from './errors.js';
export type { ErrorCode, ErrorTraits, RequestError } from './errors.js';
export { CallerClient } from './client/callerClient.js';
export type {
  CallerClientOptions,
  CallerError,
  ChatAnswer,
  ChatRequest,
  OrderOutcome,
  OrderState,
} from './client/types.js';
