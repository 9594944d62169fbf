const ADDRESS_PATTERN = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_BYTE = 255;
const MAX_PORT = 65_535;

/** Tells whether a text is an IPv4 address and a port other than 0, `IP:port`. Node.js throws when it is given another port. */
export function isAddress(text: string): boolean {
  const [, ...numbers] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(numbers.pop());
  return (
    numbers.length > 0 && numbers.every((byte) => Number(byte) <= MAX_BYTE) && port > 0 && port <= MAX_PORT
  );
}
