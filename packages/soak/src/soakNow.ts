/** Time of the machine's steady clock, as all processes of a soak write it. */
export function soakNow(): number {
  return performance.timeOrigin + performance.now();
}
