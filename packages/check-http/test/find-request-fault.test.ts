import { findRequestFault } from '@laburnumshift/check-http';
import test from 'ava';

const CASES: readonly (readonly [name: string, version: string, headers: string[], isSound: boolean])[] = [
  ['a length', '1.1', ['Host', 'a', 'Content-Length', '5'], true],
  ['chunks', '1.1', ['transfer-encoding', 'Chunked'], true],
  ['no body', '1.0', ['X-!#$%&', ''], true],
  ['another version', '2.0', [], false],
  ['a blank in a name', '1.1', ['Content Length', '5'], false],
  ['a blank after a name', '1.1', ['Content-Length ', '5'], false],
  ['no name', '1.1', ['', '1'], false],
  ['a control byte in a name', '1.1', ['X\x01', '1'], false],
  ['two lengths', '1.1', ['Content-Length', '5', 'content-length', '5'], false],
  ['a length beside chunks', '1.1', ['Content-Length', '5', 'Transfer-Encoding', 'chunked'], false],
  ['a length with a sign', '1.1', ['Content-Length', '+5'], false],
  ['an unknown transfer coding', '1.1', ['Transfer-Encoding', 'x'], false],
  ['a transfer coding after chunks', '1.1', ['Transfer-Encoding', 'chunked, x'], false],
  ['chunks in HTTP/1.0', '1.0', ['Transfer-Encoding', 'chunked'], false],
];
// Guards against requests whose end another parser sees elsewhere, whatever the parser of this runtime accepts (UNASKED).
for (const [name, httpVersion, rawHeaders, isSound] of CASES)
  test(`a request head with ${name} is ${isSound ? 'sound' : 'ambiguous'}`, (t) => {
    t.is(findRequestFault({ httpVersion, rawHeaders }) === undefined, isSound);
  });
