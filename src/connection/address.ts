import { isIP } from 'node:net';

const MAX_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/;
const HOST_NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$/i;
/** URL parsers take such a host for an IPv4 address and refuse it if it is none. */
const NUMERIC_END_PATTERN = /(^|\.)\d+$/;

/**
 * Checks whether a connection can be opened to an address.
 *
 * @param address - Text from another process
 * @returns True for `host:port` with an IP address, IPv6 in brackets, or a host name, and a port from 1 to 65535
 */
export function isAddress(address: string): boolean {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, Math.max(0, colon));
  const port = address.slice(colon + 1);
  if (!PORT_PATTERN.test(port) || Number(port) > MAX_PORT) return false;
  if (host.startsWith('[')) return host.endsWith(']') && isIP(host.slice(1, -1)) === 6;
  if (isIP(host) === 4) return true;
  return HOST_NAME_PATTERN.test(host) && !NUMERIC_END_PATTERN.test(host);
}
