// The bundle needs only these parts of undici; its index also loads fetch, caches and web sockets.
import request from 'undici/lib/api/api-request.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Dispatcher.prototype.request = request;

export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as errors } from 'undici/lib/core/errors.js';
