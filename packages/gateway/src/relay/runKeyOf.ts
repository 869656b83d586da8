import type { Replica } from '@jujubecroft/types';

/** @returns a key of one run of a replica at one address */
export function runKeyOf({ id, address, bornMs }: Replica): string {
  return `${id} ${address} ${bornMs ?? ''}`;
}
