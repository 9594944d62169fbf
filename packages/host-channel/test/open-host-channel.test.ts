import dgram from 'node:dgram';
import { sleep } from '@laburnumshift/clock';
import { MESSAGE_KINDS, openHostChannel } from '@laburnumshift/host-channel';
import { waitFor } from '@laburnumshift/test-utils';
import { pack } from 'msgpackr';
import fc from 'fast-check';
import test, { type ExecutionContext } from 'ava';

/** Opens a socket that sends and receives arbitrary bytes. */
const openSocket = async (t: ExecutionContext): Promise<dgram.Socket> => {
  const socket = dgram.createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    socket.close();
  });
  return socket;
};
const openChannel = async (t: ExecutionContext) => {
  const channel = await openHostChannel('127.0.0.1:0');
  const port = Number(channel.address.split(':')[1]);
  t.teardown(channel.close);
  return { channel, port };
};

test('a message reaches the handler of its kind with the address of its sender, and the handler can answer it', async (t) => {
  const { channel, port } = await openChannel(t);
  const socket = await openSocket(t);
  const received: unknown[] = [];
  socket.on('message', (bytes) => received.push(bytes.length));
  channel.handleMessages(MESSAGE_KINDS.placementRequest, (message, from) => {
    received.push([message, from]);
    channel.sendMessage([from], [MESSAGE_KINDS.placementAnswer, 'x']);
    return true;
  });
  socket.send(pack([MESSAGE_KINDS.placementRequest, 'a', 1]), port, '127.0.0.1');
  await waitFor('the answer', () => received.length === 2);
  t.deepEqual(received[0], [
    [MESSAGE_KINDS.placementRequest, 'a', 1],
    `127.0.0.1:${String(socket.address().port)}`,
  ]);
});

test('neither malformed datagrams nor exceptions in a handler stop the channel', async (t) => {
  const { channel, port } = await openChannel(t);
  const socket = await openSocket(t);
  let handled = 0;
  channel.handleMessages(MESSAGE_KINDS.placementRequest, () => {
    handled += 1;
    throw new Error('handler failed');
  });
  channel.handleMessages(MESSAGE_KINDS.placementAnswer, () => false);
  const datagrams = fc.sample(
    fc.oneof(
      fc.uint8Array({ minLength: 1, maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
      fc.anything().map((value) => Buffer.from(pack(value))),
    ),
    { seed: 5, numRuns: 300 },
  );
  const send = (bytes: Buffer): Promise<void> =>
    new Promise((resolve) => {
      socket.send(bytes, port, '127.0.0.1', () => {
        resolve();
      });
    });
  for (const [index, bytes] of datagrams.entries()) {
    if (bytes.length > 0) await send(bytes);
    // The operating system drops datagrams that arrive faster than they are read.
    if (index % 10 === 0) await sleep(1);
  }
  await send(pack([MESSAGE_KINDS.placementAnswer]));
  await waitFor('the last message', async () => {
    await send(pack([MESSAGE_KINDS.placementRequest]));
    return handled > 0;
  });
  t.true(channel.countMalformed() > 100);
});

test('opening a channel on a port in use rejects with EADDRINUSE', async (t) => {
  const { port } = await openChannel(t);
  await t.throwsAsync(openHostChannel(`127.0.0.1:${String(port)}`), { code: 'EADDRINUSE' });
});
