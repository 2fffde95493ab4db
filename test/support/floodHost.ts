import type { LinkFlood } from '../standins/floodingPeer.js';
import { floodLink } from '../standins/floodingPeer.js';

// Floods a link port from a process of its own, so that it takes no time of the test.
// Arguments: port, number of links, kind of flood.
const [port = '0', links = '1', flood = 'pings'] = process.argv.slice(2);
let sentBytes = 0;
for (let index = 0; index < Number(links); index += 1) {
  void floodLink(Number(port), flood as LinkFlood, `gateway-flood-${index}`, (bytes) => {
    sentBytes += bytes;
  });
}
process.on('message', () => {
  process.send?.(sentBytes);
});
