import { setTimeout as sleep } from 'node:timers/promises';
import type { ChannelOptions, sendUnaryData, ServerUnaryCall, UntypedHandleCall } from '@grpc/grpc-js';
import {
  Client,
  credentials,
  logVerbosity,
  Server,
  ServerCredentials,
  setLogVerbosity,
  status,
} from '@grpc/grpc-js';
import type { PeerMessage, PeerSender } from '@pimentostall/core';
import { EventKind } from '@pimentostall/core';
import type { Logger } from 'pino';
import type { AddressResolver } from '../addresses.ts';
import { splitAddress } from '../addresses.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';
import { decodeEnvelope } from './decodeEnvelope.ts';
import { encodeEnvelope } from './encodeEnvelope.ts';
import { PEER_SERVICE } from './peerService.ts';

const IN_FLIGHT_POLL_MS = 20;

// grpc-js logs plain lines to standard error; the adapter logs its failures as JSON instead.
setLogVerbosity(logVerbosity.NONE);

interface PeerConnection {
  readonly client: Client;
  callsInFlight: number;
}

export interface PeerAdapterSetup {
  readonly sink: EventSink;
  readonly options: ShellOptions;
  readonly logger: Logger;
  readonly resolveAddress: AddressResolver;
  /** Called for each message, because a fenced router continues under a new incarnation ID. */
  readonly sender: () => PeerSender;
}

/**
 * Sends and receives messages between routers. Undeliverable messages are dropped; the core resends what it
 * needs.
 */
export class PeerAdapter {
  private readonly server: Server;
  private readonly connections = new Map<string, PeerConnection>();
  private readonly channelOptions: ChannelOptions;

  constructor(private readonly setup: PeerAdapterSetup) {
    const { maxPeerMessageBytes } = setup.options;
    this.channelOptions = {
      'grpc.max_receive_message_length': maxPeerMessageBytes,
      'grpc.max_send_message_length': maxPeerMessageBytes,
      // Short, so that a peer is reached again soon after a network partition.
      'grpc.initial_reconnect_backoff_ms': 200,
      'grpc.max_reconnect_backoff_ms': 2_000,
    };
    this.server = new Server(this.channelOptions);
    const deliver = (call: ServerUnaryCall<Buffer, undefined>, reply: sendUnaryData<undefined>): void => {
      this.handleEnvelope(call.request, reply);
    };
    this.server.addService(PEER_SERVICE, { deliver: deliver as UntypedHandleCall });
  }

  listen(address: string): Promise<string> {
    const { host } = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) {
          resolve(`${host}:${port}`);
        } else {
          reject(error);
        }
      });
    });
  }

  send(peerAddress: string, message: PeerMessage): void {
    const { options, logger, sender } = this.setup;
    const connection = this.getOrCreateConnection(peerAddress);
    if (connection.callsInFlight >= options.maxPeerCallsInFlight) {
      logger.debug(
        { peerAddress, kind: message.kind },
        'Dropped a message to a peer with too many calls in flight',
      );
      return;
    }
    const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.deliver;
    const deadline = Date.now() + options.peerTimeoutMs;
    const bytes = encodeEnvelope(sender(), message);
    connection.callsInFlight += 1;
    connection.client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      bytes,
      { deadline },
      (error) => {
        connection.callsInFlight -= 1;
        if (error !== null) {
          logger.debug(
            { peerAddress, kind: message.kind, code: error.code },
            'Failed to deliver a peer message',
          );
        }
      },
    );
  }

  /** Waits for messages in flight, because a stopping router sends its last records to its peers. */
  async close(): Promise<void> {
    const closeDeadlineMs = performance.now() + this.setup.options.closeGraceMs;
    while (this.hasCallsInFlight() && performance.now() < closeDeadlineMs) {
      await sleep(IN_FLIGHT_POLL_MS);
    }
    for (const { client } of this.connections.values()) {
      client.close();
    }
    this.connections.clear();
    this.server.forceShutdown();
  }

  private hasCallsInFlight(): boolean {
    return [...this.connections.values()].some(({ callsInFlight }) => callsInFlight > 0);
  }

  private getOrCreateConnection(peerAddress: string): PeerConnection {
    const address = this.setup.resolveAddress(peerAddress);
    const existing = this.connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    this.closeIdleConnections();
    const client = new Client(address, credentials.createInsecure(), this.channelOptions);
    const connection = { client, callsInFlight: 0 };
    this.connections.set(address, connection);
    return connection;
  }

  /**
   * Connections to replaced VMs would otherwise stay open forever; a peer that is still in use is
   * reconnected.
   */
  private closeIdleConnections(): void {
    if (this.connections.size < this.setup.options.maxPeerConnections) {
      return;
    }
    for (const [address, { client, callsInFlight }] of this.connections) {
      if (callsInFlight === 0) {
        client.close();
        this.connections.delete(address);
      }
    }
  }

  private handleEnvelope(bytes: Buffer, reply: sendUnaryData<undefined>): void {
    try {
      const { sender, message } = decodeEnvelope(bytes);
      this.setup.sink.submit({ kind: EventKind.PeerReceived, sender, message });
      reply(null, undefined);
    } catch (cause) {
      this.setup.logger.warn({ err: cause }, 'Rejected a malformed peer message');
      reply({ code: status.INVALID_ARGUMENT, details: 'The envelope is malformed.' });
    }
  }
}
