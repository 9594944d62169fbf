import dgram from 'node:dgram';
import { createLoadSharing } from '@laburnumshift/share-load';
import { waitFor } from '@laburnumshift/test-utils';
import { createEngineBoard } from '@laburnumshift/track-engines';
import { pack } from 'msgpackr';
import test from 'ava';

/** Finds a UDP port that is free now. */
const findPort = async (): Promise<number> => {
  const socket = dgram.createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  const { port } = socket.address();
  await new Promise<void>((resolve) => {
    socket.close(resolve);
  });
  return port;
};
const startHost = async (host: string, port: number, listPeers: () => readonly string[]) => {
  const board = createEngineBoard();
  const sharing = await createLoadSharing({
    address: `127.0.0.1:${String(port)}`,
    host,
    bornMs: 1,
    board,
    listPeers,
  });
  return { board, sharing };
};
const WORK = { uncachedTokens: 100, totalTokens: 300 };

test('a host knows what the others have at a server, and that their work has ended', async (t) => {
  const ports = [await findPort(), await findPort()] as const;
  const listPeers = (own: number) => () =>
    ports.filter((port) => port !== own).map((port) => `127.0.0.1:${String(port)}`);
  const first = await startHost('one', ports[0], listPeers(ports[0]));
  const second = await startHost('two', ports[1], listPeers(ports[1]));
  t.teardown(() => {
    first.sharing.close();
    second.sharing.close();
  });
  const call = first.board.beginCall('e', WORK);
  await waitFor('the load', () => second.sharing.getOthers('e').inFlight === 1);
  t.deepEqual(second.sharing.getOthers('e'), { inFlight: 1, pendingTokens: 100, heldTokens: 300 });
  t.deepEqual(first.sharing.getOthers('e'), { inFlight: 0, pendingTokens: 0, heldTokens: 0 });
  t.is(second.sharing.countHosts(), 1);
  call.finish('served');
  await waitFor('the end of the load', () => second.sharing.getOthers('e').heldTokens === 0);
});

test('late, foreign and own messages change nothing, and a silent host is forgotten', async (t) => {
  const port = await findPort();
  const { sharing } = await startHost('one', port, () => []);
  const socket = dgram.createSocket('udp4');
  t.teardown(() => {
    sharing.close();
    socket.close();
  });
  const send = (message: unknown): void => {
    socket.send(Buffer.isBuffer(message) ? message : pack(message), port, '127.0.0.1');
  };
  send(['two', 5, 9, [['e', 2, 10, 20]]]);
  await waitFor('the message', () => sharing.getOthers('e').inFlight === 2);
  send(['two', 5, 8, [['e', 7, 10, 20]]]);
  send(['two', 4, 99, [['e', 7, 10, 20]]]);
  send(['one', 5, 1, [['e', 7, 10, 20]]]);
  send(['three', 5, 1, [['e', -7, 10, 20]]]);
  send(Buffer.from('no message'));
  send(['four', 5, 1, [['f', 1, 0, 0]]]);
  await waitFor('the last message', () => sharing.getOthers('f').inFlight === 1);
  t.is(sharing.getOthers('e').inFlight, 2);
  await waitFor('silence', () => sharing.countHosts() === 0, 3000);
  t.is(sharing.getOthers('e').inFlight, 0);
});
