import platform
import sys


def test_folder_does_not_shadow_the_standard_module():
    assert platform.python_implementation()
    assert platform.__file__.startswith(sys.base_prefix)
