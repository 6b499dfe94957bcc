package org.bronzehill.core.engine;

import org.bronzehill.core.budget.StoreBudget;
import org.bronzehill.core.node.Effects;
import org.bronzehill.protocol.generated.PermitRequest;

/** Operations of the store budget that a scheduler uses. */
public interface StorePermits {

    /** Requests a permit, or replaces the deadline and value of an earlier request. */
    void request(PermitRequest request, Effects out);

    /** Withdraws a request that has not been granted. */
    void withdraw(String engine, long sequence, Effects out);

    /** Returns a granted permit; {@code used} is true if the store may have been read. */
    void returnPermit(String engine, long sequence, boolean used, Effects out);

    /** Returns an implementation that delegates to a store budget. */
    static StorePermits of(StoreBudget budget) {
        return new StorePermits() {
            @Override
            public void request(PermitRequest request, Effects out) {
                budget.request(request, out);
            }

            @Override
            public void withdraw(String engine, long sequence, Effects out) {
                budget.withdraw(engine, sequence, out);
            }

            @Override
            public void returnPermit(String engine, long sequence, boolean used, Effects out) {
                budget.returnPermit(engine, sequence, used, out);
            }
        };
    }
}
