import http from 'node:http';
import { API_KEY, ROUTE_HOST } from './deployment.js';

/** What a caller has received; status 0 stands for a failed connection. */
export interface Answer {
  readonly status: number;
  readonly text: string;
  readonly headers: http.IncomingHttpHeaders;
  /** Whether the answer ended as its framing declares. */
  readonly isComplete: boolean;
}

export interface CallerRequest {
  readonly front: { readonly host: string; readonly port: number };
  readonly path: string;
  readonly requestId: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: http.Agent;
}

let nextNumber = 1;

/** Creates an id that no other client attempt of this process has. */
export function createRequestId(): string {
  return (nextNumber++).toString(16).padStart(16, '0');
}

/**
 * Sends one client attempt, by default on a connection of its own.
 *
 * @param request - Request
 * @returns What came back
 */
export function sendRequest({
  front,
  path,
  requestId,
  method = 'POST',
  headers = {},
  body = '{}',
  agent,
}: CallerRequest): Promise<Answer> {
  return new Promise((resolve) => {
    const request = http.request({
      ...front,
      agent: agent ?? false,
      method,
      path,
      headers: {
        Host: ROUTE_HOST,
        'Request-Id': requestId,
        'X-Api-Key': API_KEY,
        'Deadline-Ms': '8000',
        ...(method === 'GET' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
        ...headers,
      },
    });
    const fail = (error: Error): void => {
      resolve({ status: 0, text: error.message, headers: {}, isComplete: false });
    };
    request.on('error', fail).on('response', (response) => {
      let text = '';
      response.setEncoding('utf8').on('data', (part: string) => {
        text += part;
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        const { statusCode = 0, complete: isComplete, headers: received } = response;
        resolve({ status: statusCode, text, headers: received, isComplete });
      });
    });
    request.end(method === 'GET' ? undefined : body);
  });
}
