import type { buildConnector } from 'undici';
import { buildConnector as createConnector } from 'undici';
import { observeReset } from './observeReset.js';

/**
 * Creates a connector of undici for a client that uses one connection.
 *
 * @param onReset - Called when the connection is reset, before undici ends the response
 * @returns The connector
 */
export function createObservedConnector(onReset: () => void): buildConnector.connector {
  const connect = createConnector({});
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      observeReset(socket, onReset);
      callback(null, socket);
    });
  };
}
