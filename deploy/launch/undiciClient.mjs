// Replaces the index of undici in the bundle, which would also load fetch, caches and WebSocket support.
import request from 'undici/lib/api/api-request.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Dispatcher.prototype.request = request;

export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as errors } from 'undici/lib/core/errors.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
