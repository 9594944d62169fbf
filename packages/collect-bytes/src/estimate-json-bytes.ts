/** Heap for an object or array and its place in the value around it, bytes, as V8 takes it on 64-bit machines. */
const CONTAINER_BYTES = 72;
/** Heap for any other value, bytes: a number, or a reference to a string whose text counts by its length. */
const VALUE_BYTES = 8;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
/** Bytes of the heap that each byte of JSON outside of strings stands for, by its code. */
const BYTES_BY_CODE = new Uint8Array(256);
for (const [character, bytes] of Object.entries({
  '{': CONTAINER_BYTES,
  '[': CONTAINER_BYTES,
  ',': VALUE_BYTES,
  ':': VALUE_BYTES,
}))
  BYTES_BY_CODE[character.charCodeAt(0)] = bytes;

/** Returns the index of the quote that ends the string which begins at `start`; the length of the text when it has no end. */
const findStringEnd = (json: Buffer, start: number): number => {
  let index = start + 1;
  while (index < json.length && json[index] !== QUOTE) index += json[index] === BACKSLASH ? 2 : 1;
  return index;
};

/** Estimates the heap that the values of a JSON text take once it is parsed, bytes. The text need not be valid. */
export function estimateJsonBytes(json: Buffer): number {
  let bytes = 0;
  for (let index = 0; index < json.length; index += 1) {
    const code = json[index] ?? 0;
    if (code === QUOTE) {
      const end = findStringEnd(json, index);
      bytes += end - index;
      index = end;
    } else bytes += BYTES_BY_CODE[code] ?? 0;
  }
  return bytes;
}
