/** Fake plain service that counts its executions by key. */
export class FakeService {
  readonly executions = new Map<string, number>();

  constructor(readonly address: string) {}

  run(key: string): string {
    const count = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, count);
    return JSON.stringify({ key });
  }
}
