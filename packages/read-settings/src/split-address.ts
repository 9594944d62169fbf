import { isIP } from 'node:net';

/** Splits `IPv4:port` or `[IPv6]:port`, port 0 to 65,535; `undefined` when the text has neither form. */
export function splitAddress(text: string): { readonly ip: string; readonly port: number } | undefined {
  const found = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const ip = found?.[1] ?? found?.[2] ?? '';
  const port = Number(found?.[3]);
  return isIP(ip) === 0 || !(port <= 65_535) ? undefined : { ip, port };
}
