import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { watchResponse } from '@laburnumshift/check-http';
import test, { type ExecutionContext } from 'ava';

const OK = 'HTTP/1.1 200 OK\r\n';
/** More bytes than the buffers of two sockets hold. */
const UPLOAD = Buffer.alloc(16 * 1024 * 1024);

type Outcome =
  | { readonly kind: 'answered'; readonly text: string }
  | { readonly kind: 'failed'; readonly hasHead: boolean };

/** Sends a request to a server that answers its first bytes by `answer`, and returns what its sender gets. */
const sendRequest = async (
  t: ExecutionContext,
  answer: (socket: Socket) => void,
  body = Buffer.alloc(0),
): Promise<Outcome> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      answer(socket);
    });
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve) => {
    const request = http.request({ port, host: '127.0.0.1', method: 'POST', agent: false });
    let hasHead = false;
    const fail = (): void => {
      resolve({ kind: 'failed', hasHead });
    };
    request.on('error', fail);
    watchResponse(request, (response) => {
      hasHead = true;
      let text = '';
      response.on('error', fail);
      response.on('data', (bytes: Buffer) => (text += bytes.toString('latin1')));
      response.on('end', () => {
        resolve({ kind: 'answered', text });
      });
    });
    request.end(body);
  });
};

for (const [name, bytes] of Object.entries({
  'a blank in a name': `${OK}X Bad: 1\r\nContent-Length: 5\r\n\r\nhello`,
  'a carriage return before the length': `${OK}\rContent-Length: 5\r\n\r\nhello`,
  'status 000': 'HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello',
  'status 101': 'HTTP/1.1 101 Switching Protocols\r\n\r\n',
  'an unknown transfer coding': `${OK}Transfer-Encoding: x\r\n\r\nhello`,
}))
  for (const isSplit of [false, true])
    test(`guards against a head with ${name} that reaches the sender${isSplit ? ', byte by byte' : ''}`, async (t) => {
      const outcome = await sendRequest(t, (socket) => {
        if (!isSplit) {
          socket.write(bytes);
          return;
        }
        socket.setNoDelay();
        const write = (at: number): void => {
          if (at < bytes.length && !socket.destroyed)
            socket.write(bytes.charAt(at), () => setImmediate(write, at + 1));
        };
        write(0);
      });
      t.deepEqual(outcome, { kind: 'failed', hasHead: false });
    });

test('a sound answer without a length is received', async (t) => {
  const outcome = await sendRequest(t, (socket) => socket.end(`${OK}\r\nhello`));
  t.deepEqual(outcome, { kind: 'answered', text: 'hello' });
});

test('a sound answer after interim ones is received', async (t) => {
  const outcome = await sendRequest(t, (socket) =>
    socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${OK}Content-Length: 5\r\n\r\nhello`),
  );
  t.deepEqual(outcome, { kind: 'answered', text: 'hello' });
});

for (const delayMs of [0, 3, 20, 50])
  for (const end of ['reset', 'close'] as const)
    // Guards against the part of an answer that came before a reset being taken for a whole one (MIXED).
    test(`guards against part of an early answer that looks complete when its upload meets a ${end} after ${String(delayMs)} ms`, async (t) => {
      const outcome = await sendRequest(
        t,
        (socket) => {
          socket.pause();
          socket.write(`${OK}\r\nhel`);
          setTimeout(() => {
            if (end === 'reset') socket.resetAndDestroy();
            else socket.destroy();
          }, delayMs);
        },
        UPLOAD,
      );
      t.is(outcome.kind, 'failed');
    });
