/** Splits `IP:port` at the last colon. Brackets around an IPv6 address are removed. Nothing is validated. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(separator + 1)),
  };
}
