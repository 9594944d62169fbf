import type { LineReader } from './line-reader.js';

const TAB = 0x09;
const LF = 0x0a;
const CR = 0x0d;
const FIRST_PRINTABLE = 0x20;
const DELETE = 0x7f;
/** Longest line, bytes: several times the longest head that the runtime's parser accepts. */
const MAX_LINE_BYTES = 65_536;

const isLineByte = (byte: number | undefined): boolean =>
  byte !== undefined && (byte === TAB || (byte >= FIRST_PRINTABLE && byte !== DELETE));

/** Creates a reader of lines that end with CRLF. Control bytes and line ends of another form are faults. */
export function createLineReader(): LineReader {
  let partial = '';
  let isAfterCr = false;
  return {
    readLine: (bytes, from) => {
      let end = from;
      if (!isAfterCr) {
        while (end < bytes.length && isLineByte(bytes[end])) end += 1;
        partial += bytes.toString('latin1', from, end);
        if (partial.length > MAX_LINE_BYTES) return { kind: 'fault', fault: 'a line is too long' };
        if (end === bytes.length) return { kind: 'partial', length: partial.length };
        if (bytes[end] !== CR) return { kind: 'fault', fault: 'a control byte in a line' };
        isAfterCr = true;
        end += 1;
      }
      if (end === bytes.length) return { kind: 'partial', length: partial.length };
      if (bytes[end] !== LF) return { kind: 'fault', fault: 'a carriage return within a line' };
      const line = partial;
      partial = '';
      isAfterCr = false;
      return { kind: 'line', line, next: end + 1 };
    },
  };
}
