import { Encoder } from 'cbor-x';
import { expect } from 'chai';
import type { Message } from '../protocol/messages.js';
import { decodeBody, encodeFrame, FrameReader } from './frameCodec.js';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
/** Array that holds an array, and so on. */
const encodeNested = (depth: number): Buffer =>
  Buffer.concat([Buffer.alloc(depth, 0x81), Buffer.from([0x80])]);

describe('frames of peers', () => {
  // An exception here reached no handler; twenty of them ended the process.
  for (const [name, type] of Object.entries({
    object: { toString: 1 },
    list: [['ping']],
    number: 7,
  })) {
    it(`guards against an exception for a message whose type is no text; type: ${name}`, () => {
      const decoded = decodeBody(encoder.encode({ type, sentAt: 1 }));
      expect(decoded.isErr() && decoded.error.code).to.equal('frame_malformed');
    });
  }

  for (const depth of [1_000, 5_000, 1_000_000]) {
    it(`guards against an exception for a deeply nested frame; depth: ${depth}`, () => {
      const type = Buffer.concat([Buffer.from([0xa1, 0x64]), Buffer.from('type')]);
      for (const body of [encodeNested(depth), Buffer.concat([type, encodeNested(depth)])]) {
        expect(decodeBody(body).isErr()).to.equal(true);
      }
    });
  }

  const messages: readonly Message[] = [
    { type: 'ping', sentAt: 1_200 },
    { type: 'cancel', attempt: 'a-1' },
    {
      type: 'orderReply',
      call: 'c-1',
      state: 'done',
      reason: '',
      status: 200,
      body: new Uint8Array(Buffer.from('{"paid":1200}')),
    },
    { type: 'ping', sentAt: 3 },
  ];
  const frames = messages.map(encodeFrame);

  // A shorter body of an order's reply would be remembered as its outcome.
  it('guards against a frame that is cut in its length, its head or its content and counts as a message', () => {
    const stream = Buffer.concat(frames);
    for (let length = 0; length <= stream.length; length += 1) {
      const whole: Message[] = [];
      let end = 0;
      for (const [index, frame] of frames.entries()) {
        end += frame.length;
        if (end <= length) whole.push(messages[index]!);
      }
      const read = new FrameReader(1_000).readMessages(stream.subarray(0, length));
      expect(read.unwrap(), `cut after ${length} bytes`).to.deep.equal(whole);
    }
  });

  it('guards against frames that are misread because each byte arrives on its own', () => {
    const reader = new FrameReader(1_000);
    const read: Message[] = [];
    for (const byte of Buffer.concat(frames)) {
      read.push(...reader.readMessages(Buffer.from([byte])).unwrap());
    }
    expect(read).to.deep.equal(messages);
  });

  it('guards against a content that ends early within a frame of that length and counts as a message', () => {
    for (const frame of frames) {
      for (let end = 4; end < frame.length; end += 1) {
        expect(decodeBody(frame.subarray(4, end)).isErr(), `cut after ${end} bytes`).to.equal(true);
      }
    }
  });
});
