export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

export enum VmRole {
  Router = 'router',
  Engine = 'engine',
  Service = 'service',
}

/** A row of the platform's membership list, which lags behind the actual state of the fleet. */
export interface VmRow {
  readonly vmId: string;
  /** IP address and port, for example 127.1.0.3:7001: the peer port of a router, the HTTP port of an upstream. */
  readonly address: string;
  readonly role: VmRole;
  readonly state: VmState;
  readonly region: string;
  readonly availabilityZone: string;
}
