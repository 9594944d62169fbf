import { createLineReader } from './create-line-reader.js';
import { decideFraming } from './decide-framing.js';
import type { ResponseCheck } from './response-check.js';
import type { ResponseHeadFields } from './response-head-fields.js';

const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: .*)?$/;
/** A name is a token directly before the colon, so a line that continues the one before it is no field. */
const FIELD = /^([!#$%&'*+\-.^_`|~\w]+):(.*)$/;
const CHUNK_SIZE = /^([\da-f]{1,13})(?:;.*)?$/i;
const SWITCHING_PROTOCOLS = 101;
const MIN_FINAL_STATUS = 200;
/** Longest head or trailer section, bytes: several times the longest head that the runtime's parser accepts. */
const MAX_SECTION_BYTES = 65_536;

/** Parts of an answer that consist of lines. */
type LinePart = 'status-line' | 'fields' | 'chunk-size' | 'chunk-end' | 'trailers';

/** Creates the check of the answer to one request. */
export function createResponseCheck(method: string): ResponseCheck {
  const lines = createLineReader();
  let part: LinePart | 'data' | 'rest-of-connection' | 'done' = 'status-line';
  /** What follows the data of a body or chunk. */
  let partAfterData: 'chunk-end' | 'done' = 'done';
  let dataBytes = 0;
  let sectionBytes = 0;
  let head: ResponseHeadFields = { status: 0, minorVersion: 1, lengths: [], codings: [] };

  const beginData = (bytes: number, next: typeof partAfterData): void => {
    dataBytes = bytes;
    partAfterData = next;
    part = bytes === 0 ? next : 'data';
  };
  const finishHead = (): string | undefined => {
    sectionBytes = 0;
    if (head.status < MIN_FINAL_STATUS) {
      part = 'status-line';
      return undefined;
    }
    const framing = decideFraming(method, head);
    if (framing.kind === 'fault') return framing.fault;
    if (framing.kind === 'length') beginData(framing.bytes, 'done');
    else part = framing.kind === 'chunks' ? 'chunk-size' : 'rest-of-connection';
    return undefined;
  };
  const handlers: Readonly<Record<LinePart, (line: string) => string | undefined>> = {
    'status-line': (line) => {
      const [, minorVersion, statusText] = STATUS_LINE.exec(line) ?? [];
      const status = Number(statusText);
      if (statusText === undefined || status === SWITCHING_PROTOCOLS) return 'an invalid status line';
      head = { status, minorVersion: Number(minorVersion), lengths: [], codings: [] };
      part = 'fields';
      return undefined;
    },
    fields: (line) => {
      if (line === '') return finishHead();
      const [, name = '', value = ''] = FIELD.exec(line) ?? [];
      if (name === '') return 'an invalid field';
      const lowerName = name.toLowerCase();
      if (lowerName === 'content-length') head = { ...head, lengths: [...head.lengths, value.trim()] };
      if (lowerName === 'transfer-encoding') head = { ...head, codings: [...head.codings, value.trim()] };
      return undefined;
    },
    'chunk-size': (line) => {
      const size = CHUNK_SIZE.exec(line)?.[1];
      if (size === undefined) return 'an invalid chunk size';
      sectionBytes = 0;
      const bytes = parseInt(size, 16);
      if (bytes === 0) part = 'trailers';
      else beginData(bytes, 'chunk-end');
      return undefined;
    },
    'chunk-end': () => {
      part = 'chunk-size';
      return undefined;
    },
    trailers: (line) => {
      if (line === '') part = 'done';
      else if (!FIELD.test(line)) return 'an invalid trailer';
      return undefined;
    },
  };
  const countSection = (bytes: number): string | undefined => {
    sectionBytes += bytes;
    return sectionBytes > MAX_SECTION_BYTES ? 'the head or the trailers are too long' : undefined;
  };

  return {
    addBytes: (bytes) => {
      let at = 0;
      while (at < bytes.length) {
        if (part === 'done' || part === 'rest-of-connection') return undefined;
        if (part === 'data') {
          const taken = Math.min(dataBytes, bytes.length - at);
          at += taken;
          dataBytes -= taken;
          if (dataBytes === 0) part = partAfterData;
          continue;
        }
        const step = lines.readLine(bytes, at);
        if (step.kind === 'fault') return step.fault;
        const length = step.kind === 'line' ? step.line.length : step.length;
        if (part === 'chunk-end' && length > 0) return 'a chunk without its end';
        if (step.kind === 'partial') return undefined;
        const fault = countSection(step.line.length) ?? handlers[part](step.line);
        if (fault !== undefined) return fault;
        at = step.next;
      }
      return undefined;
    },
    isEndingWithConnection: () => part === 'rest-of-connection',
  };
}
