/**
 * Waits until one of several searches finds something.
 *
 * @param searches - searches whose result is null if they find nothing
 * @returns the first result that isn't null; null once all searches have ended without one
 * @throws whatever one of the searches throws before
 */
export function firstFound<T>(
  searches: readonly Promise<T | null>[],
): Promise<T | null> {
  return new Promise((resolve, reject) => {
    searches.forEach(search => {
      search
        .then(found => {
          if (found !== null) {
            resolve(found);
          }
        })
        .catch(reject);
    });
    Promise.all(searches).then(() => {
      resolve(null);
    }, reject);
  });
}
