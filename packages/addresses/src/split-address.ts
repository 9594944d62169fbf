/** Splits `IP:port`, with brackets around an IPv6 address. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const split = address.lastIndexOf(':');
  return { host: address.slice(0, split).replace(/^\[|\]$/g, ''), port: Number(address.slice(split + 1)) };
}
