import { Encoder } from 'cbor-x';
import { expect } from 'chai';
import { decodeBody } from './frameCodec.js';

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
});
