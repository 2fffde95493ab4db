import { expect } from 'chai';
import { isAddress } from './address.js';

const sound = [
  '10.0.0.1:80',
  '127.0.0.1:65535',
  '[::1]:80',
  'entry-1.union.example:7340',
  'host:1',
];
const odd = [
  '',
  ':80',
  '10.0.0.1',
  '10.0.0.1:',
  '10.0.0.1:0',
  '10.0.0.1:65536',
  '10.0.0.1:99999',
  '10.0.0.1:80x',
  '10.0.0.1:-1',
  '10.0.0.1:080',
  '999.1.1.1:80',
  '1.1.1:80',
  '::1:80',
  '[10.0.0.1]:80',
  '[::1:80',
  'a b:80',
  'a/b:80',
  'user@host:80',
];

describe('addresses of other processes', () => {
  it('guards against an address to which no connection can be opened', () => {
    expect(odd.filter(isAddress)).to.deep.equal([]);
  });

  it('guards against refused addresses of processes that run', () => {
    expect(sound.filter((address) => !isAddress(address))).to.deep.equal([]);
  });
});
