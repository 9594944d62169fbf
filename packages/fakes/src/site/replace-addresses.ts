/** Replaces declared addresses in the text of a declaration file by those of the fakes. */
export function replaceAddresses(text: string, addresses: ReadonlyMap<string, string>): string {
  let replaced = text;
  for (const [declared, actual] of addresses) {
    replaced = replaced.replaceAll(JSON.stringify(declared), JSON.stringify(actual));
  }
  return replaced;
}
