import type { ServerResponse } from 'node:http';
import type { CallerMemory, MemoryHold } from './callerMemory.js';

/** Counts the part of a response that its caller has not read; the connection is closed when its memory is needed. */
export class UnreadResponse {
  private hold: MemoryHold | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly memory: CallerMemory,
    private readonly readClock: () => number,
  ) {}

  /** Counts what has been written and not been handed to the operating system. */
  update(): void {
    this.hold ??= this.openHold();
    this.hold.resize(this.response.writableLength, this.readClock());
  }

  private openHold(): MemoryHold {
    const { response } = this;
    const { req: request } = response;
    const { socket } = request;
    const hold = this.memory.open(
      {
        kind: 'response',
        group: '',
        request,
        evict: () => {
          socket.destroy();
        },
      },
      this.readClock(),
    );
    const release = (): void => {
      response.off('close', release).off('drain', update);
      socket.off('close', release);
      hold.release();
    };
    const update = (): void => {
      this.update();
    };
    response.on('drain', update).once('close', release);
    // A response that waits for an earlier one on its connection is not told of the close.
    socket.once('close', release);
    return hold;
  }
}
