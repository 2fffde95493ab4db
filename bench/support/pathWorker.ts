import type { Socket } from 'node:net';
import { setImmediate as yieldTurn } from 'node:timers/promises';
import { formatEvent } from '../../test/standins/platformWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../../test/standins/rawWorker.js';

const STREAM_HEADERS = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];

/** Writes each event in a turn of its own, so that the gateway can read them one by one. */
async function streamEvents(socket: Socket, requestId: string, events: number): Promise<void> {
  socket.write(formatHead(requestId, STREAM_HEADERS));
  for (let id = 1; id <= events && !socket.destroyed; id += 1) {
    socket.write(formatChunk(formatEvent(id)));
    await yieldTurn();
  }
  socket.write(formatChunk(''));
}

// Runs an upstream in a process of its own: `/chat/N` streams N events, anything else gets a short body at once.
const worker = await startRawWorker('i-path', (socket, { requestId, path }) => {
  if (path.startsWith('/chat/')) void streamEvents(socket, requestId, Number(path.split('/')[2]));
  else socket.write(`${formatHead(requestId, ['Content-Length: 4'])}done`);
});
process.send?.({ id: worker.id, port: worker.port });
