/** Resolves after the given time; at once for 0. */
export async function delay(durationMs: number): Promise<void> {
  if (durationMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, durationMs));
  }
}
