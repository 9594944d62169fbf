import { createResponseCheck } from '@laburnumshift/check-http';
import test from 'ava';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const SOUND: Readonly<Record<string, string>> = {
  'a length': `${OK}Content-Length: 5\r\n\r\nhello`,
  'no body': `${OK}Content-Length: 0\r\n\r\n`,
  'bytes of any value': `${OK}X-A:\t\x80\xff \r\nContent-Length: 4\r\n\r\n\r\x00\n\x7f`,
  'a name of all token characters': `${OK}!#$%&'*+-.^_\`|~aZ09: 1\r\nContent-Length: 0\r\n\r\n`,
  'an empty reason': 'HTTP/1.1 404 \r\nContent-Length: 0\r\n\r\n',
  'no reason': 'HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n',
  'no length': `${OK}\r\nhello\r\r\n\x00`,
  'HTTP/1.0': 'HTTP/1.0 200 OK\r\n\r\nhello',
  'status 204': 'HTTP/1.1 204 No Content\r\n\r\n',
  'status 304 with a length': 'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n',
  'status 599': 'HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n',
  'interim answers': `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${OK}Content-Length: 1\r\n\r\na`,
  chunks: `${CHUNKED}5\r\nhello\r\n00A\r\n0123456789\r\n0\r\n\r\n`,
  'a chunk extension and trailers': `${CHUNKED}1;name="v"\r\na\r\n0;last\r\nX-Trailer: 1\r\n\r\n`,
  'bytes after the answer': `${OK}Content-Length: 1\r\n\r\naHTTP/9.9 000\r\n\x00`,
};
const FAULTY: Record<string, string> = {
  'a carriage return before a field': `${OK}\rContent-Length: 5\r\n\r\nhello`,
  'a carriage return before another field': `${OK}\rX-Bad: 1\r\nContent-Length: 5\r\n\r\nhello`,
  'a carriage return within a value': `${OK}X-Bad: 1\r2\r\n\r\n`,
  'a line feed without a carriage return': `${OK}X-Bad: 1\nContent-Length: 0\r\n\r\n`,
  'line feeds alone': 'HTTP/1.1 200 OK\nContent-Length: 0\n\n',
  'a field without a name': `${OK}: 1\r\n\r\n`,
  'a blank in a name': `${OK}X Bad: 1\r\n\r\n`,
  'a blank after a name': `${OK}X-Bad : 1\r\n\r\n`,
  'a tab after a name': `${OK}X-Bad\t: 1\r\n\r\n`,
  'a blank in the name of the length': `${OK}Content Length: 5\r\n\r\n`,
  'a blank in the name of the transfer coding': `${OK}Transfer -Encoding: chunked\r\n\r\n`,
  'a control byte in a name': `${OK}X\x01Bad: 1\r\n\r\n`,
  'a byte from 0x80 in a name': `${OK}X\x80Bad: 1\r\n\r\n`,
  'a control byte in a value': `${OK}X-Bad: \x01\r\n\r\n`,
  'a delete byte in a value': `${OK}X-Bad: \x7f\r\n\r\n`,
  'no colon': `${OK}X-Bad\r\n\r\n`,
  'a folded line': `${OK}X-Bad: 1\r\n 2\r\n\r\n`,
  'a control byte in the reason': 'HTTP/1.1 200 O\x01K\r\n\r\n',
  'an empty line first': `\r\n${OK}\r\n`,
  'HTTP/2.0': 'HTTP/2.0 200 OK\r\n\r\n',
  'HTTP/1.2': 'HTTP/1.2 200 OK\r\n\r\n',
  'bytes of another protocol': '\x16\x03\x01',
  'two lengths': `${OK}Content-Length: 5\r\nContent-Length: 5\r\n\r\n`,
  'a length beside chunks': `${OK}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n`,
  'chunks in HTTP/1.0': 'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
  'an unknown transfer coding': `${OK}Transfer-Encoding: x\r\n\r\n`,
  'a transfer coding after chunks': `${OK}Transfer-Encoding: chunked, x\r\n\r\n`,
  'two transfer codings': `${OK}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n`,
  'a blank in a name of an interim answer': `HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n${OK}\r\n`,
  'status 000 of an interim answer': `HTTP/1.1 000 No\r\n\r\n${OK}\r\n`,
  'a blank in the name of a trailer': `${CHUNKED}0\r\nX Bad: 1\r\n\r\n`,
  'a chunk without its end': `${CHUNKED}5\r\nhelloXX0\r\n\r\n`,
  'a chunk longer than its size': `${CHUNKED}4\r\nhello\r\n0\r\n\r\n`,
  'a chunk size with a sign': `${CHUNKED}+5\r\nhello\r\n`,
  'a chunk size with a blank': `${CHUNKED}5 \r\nhello\r\n`,
  'an empty chunk size': `${CHUNKED}\r\n`,
  'a chunk size that is too large': `${CHUNKED}${'f'.repeat(14)}\r\n`,
  'a line without end': `${OK}X: ${'a'.repeat(70_000)}`,
  'fields without end': `${OK}${'X: a\r\n'.repeat(20_000)}`,
  'trailers without end': `${CHUNKED}0\r\n${'X: a\r\n'.repeat(20_000)}`,
};
for (const status of ['000', '099', '20', '2000', '2x0', '600', '999', '101'])
  FAULTY[`status ${status}`] = `HTTP/1.1 ${status} OK\r\nContent-Length: 0\r\n\r\n`;
for (const length of ['+5', '-1', '0x5', '5, 5', '5 5', '', '1e1', '9'.repeat(16)])
  FAULTY[`the length '${length}'`] = `${OK}Content-Length: ${length}\r\n\r\n`;

/** Returns what a check finds in bytes that arrive in pieces of `size`. */
const findFault = (text: string, size: number, method = 'GET'): string | undefined => {
  const check = createResponseCheck(method);
  const bytes = Buffer.from(text, 'latin1');
  for (let at = 0; at < bytes.length; at += size) {
    const fault = check.addBytes(bytes.subarray(at, at + size));
    if (fault !== undefined) return fault;
  }
  return undefined;
};
const SIZES = [1, 2, 3, 7, Infinity];

for (const [name, text] of Object.entries(SOUND))
  test(`guards against a sound answer that is refused: ${name}`, (t) => {
    for (const size of SIZES) t.is(findFault(text, size), undefined, String(size));
  });

// Guards against answers that parsers of some releases accept, and callers then get as an engine's (MIXED).
for (const [name, text] of Object.entries(FAULTY))
  test(`guards against bytes that are no answer and are taken for one: ${name}`, (t) => {
    for (const size of SIZES) t.truthy(findFault(text, size), String(size));
  });

test('an answer to HEAD has no body', (t) => {
  t.is(findFault(`${OK}Content-Length: 5\r\n\r\n`, 1, 'HEAD'), undefined);
  const check = createResponseCheck('HEAD');
  check.addBytes(Buffer.from(`${OK}\r\n`));
  t.false(check.isEndingWithConnection());
});

test('a body without a length ends with its connection, other bodies do not', (t) => {
  const isEnding = (text: string): boolean => {
    const check = createResponseCheck('GET');
    t.is(check.addBytes(Buffer.from(text)), undefined);
    return check.isEndingWithConnection();
  };
  t.true(isEnding(`${OK}\r\nhello`));
  t.false(isEnding(OK));
  t.false(isEnding(`${OK}Content-Length: 5\r\n\r\nhe`));
  t.false(isEnding(`${CHUNKED}5\r\nhe`));
});
