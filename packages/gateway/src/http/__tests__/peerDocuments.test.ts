import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { gzipSync } from 'node:zlib';
import { request } from 'undici';
import { createBlackboard } from '../../blackboard.ts';
import { DEFAULT_OPTIONS } from '../../options.ts';
import { recordReading } from '../../configuration/documentState.ts';
import type { GatewayContext } from '../../context.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { RouterEntry } from '../../types.ts';
import { DocumentRelay, PeerDocuments } from '../peerDocuments.ts';
import { createPeerServer } from '../peerServer.ts';

const servers: Server[] = [];
after(() => {
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

function createContext(): GatewayContext {
  const loop = new TaskLoop(
    {
      nowMs: () => performance.now(),
      startTimer: (delayMs, callback) => {
        const timer = setTimeout(callback, delayMs);
        return () => {
          clearTimeout(timer);
        };
      },
    },
    (task, cause) => {
      throw new Error(`task ${task} failed`, { cause });
    },
  );
  // The server uses no other part of the context.
  return {
    board: createBlackboard(),
    loop,
    options: DEFAULT_OPTIONS,
    log: () => undefined,
    metrics: new GatewayMetrics(),
    location: { availabilityZone: 'z', region: 'r', regionOf: () => 'r' },
  } as unknown as GatewayContext;
}

async function listen(server: Server): Promise<RouterEntry> {
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    routerId: 'relay',
    incarnationId: 'relay-1',
    callerAddress: '',
    peerAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    region: 'r',
    availabilityZone: 'z',
    ready: true,
  };
}

const record = (context: GatewayContext, version: number, text: string): void => {
  recordReading(context, { document: { version, text }, seenVersion: version, silentMs: 0 });
};

const known = (documentVersion: number | undefined) => ({
  documentVersion,
  seenVersion: documentVersion,
  evacuations: undefined,
});

test('a follower gets the text that the operator wrote, with its version', async () => {
  const context = createContext();
  const relay = await listen(createPeerServer(context));
  record(context, 7, '{"botella":"señal"}');
  const reading = (await new PeerDocuments().poll(relay, known(undefined), 0))._unsafeUnwrap();
  assert.deepEqual(reading?.document, { version: 7, text: '{"botella":"señal"}' });
  assert.equal(reading.seenVersion, 7);
});

test('a relay that has just started holds a poll until it has a document', async () => {
  const context = createContext();
  const relay = await listen(createPeerServer(context));
  const poll = new PeerDocuments().poll(relay, known(undefined), 1_500);
  setTimeout(() => {
    record(context, 3, 'text');
  }, 50);
  assert.equal((await poll)._unsafeUnwrap()?.document?.version, 3);
  assert.equal(context.board.configurationDocument.waiters.size, 0);
});

test('a relay without a document or a newer one does not pretend to have any', async () => {
  const context = createContext();
  const relay = await listen(createPeerServer(context));
  const client = new PeerDocuments();
  assert.equal((await client.poll(relay, known(undefined), 0))._unsafeUnwrap(), undefined);
  record(context, 4, 'text');
  for (const version of [4, 9]) {
    const reading = (await client.poll(relay, known(version), 10))._unsafeUnwrap();
    assert.equal(reading?.document, undefined);
    assert.equal(reading?.seenVersion, 4);
  }
});

test('a relay that is cut off from the store tells for how long', async () => {
  const context = createContext();
  const relay = await listen(createPeerServer(context));
  record(context, 4, 'text');
  context.board.configurationDocument.storeHeardAtMs = performance.now() - 5_000;
  const reading = (await new PeerDocuments().poll(relay, known(4), 0))._unsafeUnwrap();
  assert.ok(reading !== undefined && reading.silentMs >= 5_000);
});

test('a document is compressed once for all followers', async () => {
  const context = createContext();
  let compressions = 0;
  const documents = new DocumentRelay(context, (text) => {
    compressions += 1;
    return Promise.resolve(gzipSync(text));
  });
  const relay = await listen(
    createServer((message, response) => {
      documents.answerPoll(message.url ?? '/', response);
    }),
  );
  const polls = Array.from({ length: 5 }, () => new PeerDocuments().poll(relay, known(1), 1_500));
  record(context, 2, 'two');
  for (const reading of await Promise.all(polls)) {
    assert.equal(reading._unsafeUnwrap()?.document?.text, 'two');
  }
  assert.equal(compressions, 1);
  record(context, 3, 'three');
  const reading = await new PeerDocuments().poll(relay, known(2), 0);
  assert.equal(reading._unsafeUnwrap()?.document?.text, 'three');
  assert.equal(compressions, 2);
});

test('a document that is replaced while it is compressed does not count as the newest', async () => {
  const context = createContext();
  const documents = new DocumentRelay(context, (text) => {
    record(context, 3, 'three');
    return Promise.resolve(gzipSync(text));
  });
  const relay = await listen(
    createServer((message, response) => {
      documents.answerPoll(message.url ?? '/', response);
    }),
  );
  record(context, 2, 'two');
  const reading = (await new PeerDocuments().poll(relay, known(1), 0))._unsafeUnwrap();
  assert.equal(reading?.document?.version, 2);
  assert.equal(reading.seenVersion, 2);
});

test('a silent relay, a broken reply and a refused connection are failures', async () => {
  const silent = await listen(createServer(() => undefined));
  assert.ok((await new PeerDocuments().poll(silent, known(1), 0)).isErr());
  const broken = await listen(
    createServer((_message, response) => {
      response.writeHead(200, { 'document-version': 5, 'seen-version': 5, 'silent-ms': 0 });
      response.end('no gzip');
    }),
  );
  assert.ok((await new PeerDocuments().poll(broken, known(1), 0)).isErr());
  assert.ok((await new PeerDocuments().poll({ ...silent, peerAddress: '127.0.0.1:1' }, known(1), 0)).isErr());
});

test('a malformed poll is refused, and loan requests still reach the ledger', async () => {
  const { peerAddress } = await listen(createPeerServer(createContext()));
  for (const path of [
    '/configuration',
    '/configuration?newer-than=-1&wait-ms=0',
    '/configuration?newer-than=1',
  ]) {
    const response = await request(`http://${peerAddress}${path}`);
    assert.equal(response.statusCode, 400);
    await response.body.dump();
  }
  const loan = await request(`http://${peerAddress}/loans`, {
    method: 'POST',
    body: JSON.stringify({ loanId: 'l', organisationName: 'o', leastTokens: 1, wantedTokens: 2 }),
  });
  assert.deepEqual(await loan.body.json(), { tokens: 0, heldTokens: 0, outstandingTokens: 0 });
});

const recordZones = (context: GatewayContext, version: number, zones: readonly string[]): void => {
  recordReading(context, {
    document: undefined,
    seenVersion: version,
    silentMs: 0,
    evacuations: { zones, version },
  });
};

test('a change of the evacuated zones ends a waiting poll, and each reply has the complete set', async () => {
  const context = createContext();
  const relay = await listen(createPeerServer(context));
  record(context, 4, 'text');
  recordZones(context, 4, []);
  const client = new PeerDocuments();
  const knownAt = (version: number, zones: readonly string[]) => ({
    documentVersion: 4,
    seenVersion: version,
    evacuations: { zones, version },
  });
  const startedAtMs = performance.now();
  const poll = client.poll(relay, knownAt(4, []), 1_500);
  setTimeout(() => {
    recordZones(context, 6, ['b "ö', 'z,1']);
  }, 50);
  const expected = { zones: ['b "ö', 'z,1'], version: 6 };
  assert.deepEqual((await poll)._unsafeUnwrap()?.evacuations, expected);
  assert.ok(performance.now() - startedAtMs < 1_000);
  // A follower that missed the change learns of it at once, and one that knows it waits.
  assert.deepEqual((await client.poll(relay, knownAt(5, []), 1_500))._unsafeUnwrap()?.evacuations, expected);
  assert.ok(performance.now() - startedAtMs < 1_000);
  recordZones(context, 9, expected.zones);
  const waitedSinceMs = performance.now();
  const unchanged = (await client.poll(relay, knownAt(6, expected.zones), 100))._unsafeUnwrap();
  assert.deepEqual(unchanged?.evacuations, { ...expected, version: 9 });
  assert.ok(performance.now() - waitedSinceMs >= 95);
  assert.equal(context.board.configurationDocument.waiters.size, 0);
});

test('the poll of a router of an older build is not ended by evacuated zones that it does not read', async () => {
  // Guards against polls in a busy loop.
  const context = createContext();
  const { peerAddress } = await listen(createPeerServer(context));
  record(context, 4, 'text');
  recordZones(context, 5, ['z']);
  const startedAtMs = performance.now();
  const response = await request(`http://${peerAddress}/configuration?newer-than=4&wait-ms=100`);
  assert.equal(response.statusCode, 204);
  await response.body.dump();
  assert.ok(performance.now() - startedAtMs >= 95);
});

test('replies without evacuated zones, or with malformed ones, leave them unknown', async () => {
  const headers: Record<string, string>[] = [
    {},
    { 'evacuated-zones': 'z' },
    { 'evacuated-zones': 'z', 'evacuated-zones-version': '-1' },
    { 'evacuated-zones': '%', 'evacuated-zones-version': '7' },
    { 'evacuated-zones-version': '7' },
  ];
  for (const zoneHeaders of headers) {
    const relay = await listen(
      createServer((_message, response) => {
        response.writeHead(204, { 'seen-version': 5, 'silent-ms': 0, ...zoneHeaders }).end();
      }),
    );
    const reading = (await new PeerDocuments().poll(relay, known(1), 0))._unsafeUnwrap();
    assert.equal(reading?.seenVersion, 5);
    assert.equal(reading.evacuations, undefined);
  }
});

test('a relay that does not know the evacuated zones does not pretend that there are none', async () => {
  const context = createContext();
  const relay = await listen(createPeerServer(context));
  record(context, 4, 'text');
  const reading = (await new PeerDocuments().poll(relay, known(1), 0))._unsafeUnwrap();
  assert.equal(reading?.document?.version, 4);
  assert.equal(reading.evacuations, undefined);
});
