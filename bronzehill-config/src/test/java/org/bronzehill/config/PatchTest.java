package org.bronzehill.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import org.bronzehill.config.Patch.PatchedDeclaration;
import org.bronzehill.config.Patch.Rejection;
import org.bronzehill.config.Patch.RejectionReason;
import org.testng.annotations.Test;

/** Tests that patches are applied only to the number that they were made for. */
public class PatchTest {

    private static Either<Rejection, PatchedDeclaration> apply(String patch) {
        return Patch.apply("d.yaml", Declarations.VALID, "p.yaml", patch);
    }

    @Test(description = "guards against a lost change and an unchanged number")
    public void acceptedPatchBecomesTheNextNumber() {
        PatchedDeclaration next =
                apply(
                                """
                                base: 7
                                change:
                                  adapters:
                                    goat-route-1:
                                      pins: {route-chat: 1}
                                """)
                        .get();

        assertEquals(next.number(), 8);
        assertEquals(
                next.configuration().adapter("goat-route-1").get().versionFor("route-chat"), 1);
        Configuration reread = DeclarationReader.read("next.yaml", next.text()).get();
        assertEquals(reread.number(), 8);
    }

    @Test(description = "guards against overwriting a change made after the patch was written")
    public void patchForStaleNumberIsRejected() {
        Rejection rejection = apply("base: 6\nchange: {adapters: {}}\n").getLeft();
        assertEquals(rejection.reason(), RejectionReason.STALE);
        assertTrue(rejection.problems().get(0).reason().contains("current number is 7"));
    }

    @Test(description = "guards against fields that a patch cannot remove")
    public void nullRemovesField() {
        PatchedDeclaration next =
                apply("base: 7\nchange: {adapters: {goat-route-1: null}}\n").get();
        assertEquals(next.configuration().adapters().count(), 0);
    }

    @Test(description = "guards against a patch that makes the declaration invalid")
    public void patchThatPinsMissingVersionIsRejected() {
        Rejection rejection =
                apply("base: 7\nchange: {adapters: {goat-route-1: {pins: {route-chat: 9}}}}\n")
                        .getLeft();
        assertEquals(rejection.reason(), RejectionReason.INVALID);
        assertEquals(rejection.problems().get(0).file(), "p.yaml");
    }

    @Test(description = "guards against a patch that sets the number itself")
    public void patchMayNotSetTheNumber() {
        assertEquals(
                apply("base: 7\nchange: {number: 99}\n").getLeft().reason(),
                RejectionReason.INVALID);
    }
}
